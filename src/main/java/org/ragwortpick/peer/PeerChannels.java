package org.ragwortpick.peer;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;

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

  private static final long KEEP_ALIVE_INTERVAL_MS = 10_000;
  private static final long KEEP_ALIVE_TIMEOUT_MS = 2_000;
  private static final int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

  private final Map<HostPort, ManagedChannel> channels = new ConcurrentHashMap<>();

  /**
   * Returns the channel to a peer, and creates it if there is none.
   *
   * @param address peer address
   * @return the channel
   */
  public ManagedChannel channel(HostPort address) {
    return channels.computeIfAbsent(address, PeerChannels::open);
  }

  /**
   * Removes a channel on which a call timed out; the next call creates a new one. Calls in progress
   * may still finish. Does nothing if another caller has already removed the channel.
   *
   * @param address peer address
   * @param timedOutChannel channel on which the call timed out
   */
  public void discard(HostPort address, ManagedChannel timedOutChannel) {
    if (channels.remove(address, timedOutChannel)) {
      timedOutChannel.shutdown();
    }
  }

  @Override
  public void close() {
    channels.values().forEach(ManagedChannel::shutdownNow);
    channels.clear();
  }

  private static ManagedChannel open(HostPort address) {
    return NettyChannelBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
        .usePlaintext()
        .directExecutor()
        .disableServiceConfigLookUp()
        .keepAliveTime(KEEP_ALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .build();
  }
}
