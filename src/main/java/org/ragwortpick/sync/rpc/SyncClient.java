package org.ragwortpick.sync.rpc;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.proto.SyncSourceGrpc;
import org.ragwortpick.sync.SyncTimings;

/**
 * Sends the polls of the local VM, one at a time.
 *
 * <p>The fields are guarded by this object. Calls into the exchange happen outside of the lock.
 */
final class SyncClient {

  private static final Logger LOG = Logger.getLogger(SyncClient.class);

  private final Clock clock;
  private final SyncExchange exchange;
  private final SourceSelector selector;
  private final PeerChannels channels;
  private final ScheduledExecutorService scheduler;
  private ScheduledFuture<?> next;
  private long nextAtMs;
  private long lastSentAtMs;
  private boolean inProgress;
  private boolean earlyWanted;
  private boolean closed;

  /**
   * Creates a client that does not poll yet.
   *
   * @param clock monotonic clock
   * @param exchange decisions of the protocol
   * @param selector choice of the source
   * @param channels channels to other VMs
   * @param scheduler executor of the polls
   */
  SyncClient(
      Clock clock,
      SyncExchange exchange,
      SourceSelector selector,
      PeerChannels channels,
      ScheduledExecutorService scheduler) {
    this.clock = clock;
    this.exchange = exchange;
    this.selector = selector;
    this.channels = channels;
    this.scheduler = scheduler;
  }

  /** Starts to poll. */
  synchronized void start() {
    schedule(0);
  }

  /** Stops to poll. A call in progress may still finish. */
  synchronized void close() {
    closed = true;
    if (next != null) {
      next.cancel(false);
    }
  }

  /** Polls as soon as the shortest time since the last poll has passed. */
  synchronized void pollEarly() {
    if (inProgress) {
      earlyWanted = true;
      return;
    }
    long delayMs = Math.max(0, lastSentAtMs + SyncTimings.EARLY_POLL_MS - clock.millis());
    if (next == null || clock.millis() + delayMs < nextAtMs) {
      schedule(delayMs);
    }
  }

  private void schedule(long delayMs) {
    if (closed) {
      return;
    }
    if (next != null) {
      next.cancel(false);
    }
    nextAtMs = clock.millis() + delayMs;
    next = scheduler.schedule(this::send, delayMs, TimeUnit.MILLISECONDS);
  }

  private void send() {
    synchronized (this) {
      if (inProgress || closed) {
        return;
      }
      inProgress = true;
      earlyWanted = false;
      lastSentAtMs = clock.millis();
    }
    try {
      if (exchange.pollSelf()) {
        ended(SyncTimings.POLL_INTERVAL_MS);
        return;
      }
      SyncExchange.Poll poll = exchange.poll(selector.source());
      ManagedChannel channel = channels.channel(poll.source());
      SyncSourceGrpc.newStub(channel)
          .withDeadlineAfter(SyncTimings.CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .sync(poll.request(), new ResponseObserver(poll, channel));
    } catch (RuntimeException e) {
      // The next poll is scheduled from here, so an exception must not end the chain.
      LOG.errorf(e, "poll failed; it is repeated in %d ms", SyncTimings.POLL_INTERVAL_MS);
      ended(SyncTimings.POLL_INTERVAL_MS);
    }
  }

  private void succeeded(HostPort source) {
    selector.succeeded(source);
    ended(SyncTimings.POLL_INTERVAL_MS);
  }

  private void failed(HostPort source, String reason) {
    LOG.debugf("poll of %s failed: %s; trying the next source", source, reason);
    boolean moreSources = selector.failed(source);
    ended(moreSources ? SyncTimings.EARLY_POLL_MS : SyncTimings.POLL_INTERVAL_MS);
  }

  private synchronized void ended(long intervalMs) {
    inProgress = false;
    long intervalOrEarlyMs = earlyWanted ? SyncTimings.EARLY_POLL_MS : intervalMs;
    schedule(Math.max(0, lastSentAtMs + intervalOrEarlyMs - clock.millis()));
  }

  private final class ResponseObserver implements StreamObserver<SyncResponse> {

    private final SyncExchange.Poll poll;
    private final ManagedChannel channel;

    private ResponseObserver(SyncExchange.Poll poll, ManagedChannel channel) {
      this.poll = poll;
      this.channel = channel;
    }

    @Override
    public void onNext(SyncResponse response) {
      boolean accepted;
      try {
        accepted = exchange.accept(poll, response);
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        LOG.warnf(e, "response of VM %s cannot be decoded", response.getVm());
        accepted = false;
      }
      if (accepted) {
        succeeded(poll.source());
      } else {
        failed(poll.source(), "its confirmation is too old");
      }
    }

    @Override
    public void onError(Throwable error) {
      Status status = Status.fromThrowable(error);
      if (status.getCode() == Status.Code.DEADLINE_EXCEEDED) {
        channels.discard(poll.source(), channel);
      }
      failed(poll.source(), status.toString());
    }

    @Override
    public void onCompleted() {
      // The response was handled when it arrived.
    }
  }
}
