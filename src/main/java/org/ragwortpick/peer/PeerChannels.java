package org.ragwortpick.peer;

import io.grpc.ManagedChannel;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.logging.DecisionLine;

/**
 * Pool with one gRPC channel per peer address.
 *
 * <p>Replies are handled on the thread of the connection, so handlers must not block; a change of
 * threads for each message would cost more than most handlers.
 *
 * <p>A connection may become unresponsive while new connections work. After a timeout the caller
 * therefore discards the channel, so that the next call uses a new connection.
 */
public final class PeerChannels implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(PeerChannels.class);

  private final Map<HostPort, PeerChannel> channels = new ConcurrentHashMap<>();
  private final Clock clock;

  /** Creates a pool without channels. */
  public PeerChannels() {
    this(new MonotonicClock());
  }

  /**
   * Creates a pool without channels.
   *
   * @param clock monotonic clock
   */
  public PeerChannels(Clock clock) {
    this.clock = clock;
  }

  /**
   * Returns the channel to a peer, and creates it if there is none.
   *
   * @param address peer address
   * @return the channel
   */
  public ManagedChannel channel(HostPort address) {
    return channels.computeIfAbsent(address, peer -> PeerChannel.open(peer, clock)).channel();
  }

  /**
   * Removes a channel on which a call timed out; the next call creates a new one. Calls in progress
   * may still finish. Does nothing if another caller has already removed the channel.
   *
   * @param address peer address
   * @param timedOutChannel channel on which the call timed out
   */
  public void discard(HostPort address, ManagedChannel timedOutChannel) {
    PeerChannel current = channels.get(address);
    if (current != null
        && current.channel() == timedOutChannel
        && channels.remove(address, current)) {
      DecisionLine.of("channel to peer discarded")
          .with("peer", address)
          .with("ageMs", current.ageMs())
          .with("hasAnswered", current.hasAnswered())
          .info(LOG);
      timedOutChannel.shutdown();
    }
  }

  @Override
  public void close() {
    channels.values().forEach(peer -> peer.channel().shutdownNow());
    channels.clear();
  }
}
