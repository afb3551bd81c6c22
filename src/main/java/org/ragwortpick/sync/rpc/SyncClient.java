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
import org.ragwortpick.config.Configuration;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.proto.SyncSourceGrpc;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.sync.SyncTimings;

/**
 * Sends the polls of the local VM, one at a time.
 *
 * <p>The fields are guarded by this object. The exchange is called without holding the lock.
 */
final class SyncClient {

  private static final Logger LOG = Logger.getLogger(SyncClient.class);

  private final Clock clock;
  private final SyncExchange exchange;
  private final SourceSelector selector;
  private final PeerChannels channels;
  private final ScheduledExecutorService scheduler;
  private final FailedPollLog failedPollLog;
  private ScheduledFuture<?> nextPoll;
  private long nextPollAtMs;
  private long lastPollAtMs;
  private boolean pollInProgress;
  private boolean earlyPollRequested;
  private boolean closed;

  /**
   * Creates a client that does not poll yet.
   *
   * @param clock monotonic clock
   * @param exchange protocol logic
   * @param selector selects the source of each poll
   * @param channels channels to other VMs
   * @param scheduler runs the polls
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
    this.failedPollLog = new FailedPollLog(clock);
  }

  /** Starts polling. */
  synchronized void start() {
    schedule(0);
  }

  /** Stops polling. A call in progress may still finish. */
  synchronized void close() {
    closed = true;
    if (nextPoll != null) {
      nextPoll.cancel(false);
    }
  }

  /** Schedules a poll as soon as the minimum interval since the last poll has passed. */
  synchronized void pollEarly() {
    if (pollInProgress) {
      earlyPollRequested = true;
      return;
    }
    long delayMs = Math.max(0, lastPollAtMs + SyncTimings.MIN_POLL_INTERVAL_MS - clock.millis());
    if (nextPoll == null || clock.millis() + delayMs < nextPollAtMs) {
      schedule(delayMs);
    }
  }

  private void schedule(long delayMs) {
    if (closed) {
      return;
    }
    if (nextPoll != null) {
      nextPoll.cancel(false);
    }
    nextPollAtMs = clock.millis() + delayMs;
    nextPoll = scheduler.schedule(this::sendPoll, delayMs, TimeUnit.MILLISECONDS);
  }

  private void sendPoll() {
    synchronized (this) {
      if (pollInProgress || closed) {
        return;
      }
      pollInProgress = true;
      earlyPollRequested = false;
      lastPollAtMs = clock.millis();
    }
    try {
      if (exchange.pollSelf()) {
        finishPoll(SyncTimings.POLL_INTERVAL_MS);
        return;
      }
      SyncExchange.Poll poll = exchange.poll(selector.nextSource());
      ManagedChannel channel = channels.channel(poll.source());
      SyncSourceGrpc.newStub(channel)
          .withDeadlineAfter(SyncTimings.POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .sync(poll.request(), new ResponseObserver(poll, channel));
    } catch (RuntimeException e) {
      // Each poll schedules the next one, so an exception must not skip that.
      LOG.errorf(e, "poll failed; the next poll is in %d ms", SyncTimings.POLL_INTERVAL_MS);
      finishPoll(SyncTimings.POLL_INTERVAL_MS);
    }
  }

  private void succeeded(HostPort source, SourceQuality quality) {
    boolean searchesSource = selector.recordSuccess(source, quality);
    boolean continues = exchange.sourceHasMore();
    failedPollLog.succeeded(exchange.fetchProgress());
    if (continues) {
      selector.continueWith(source);
    }
    finishPoll(
        searchesSource || continues
            ? SyncTimings.MIN_POLL_INTERVAL_MS
            : SyncTimings.POLL_INTERVAL_MS);
  }

  private void failed(HostPort source, String reason) {
    failedPollLog.failed(source, reason, exchange.fetchProgress());
    LOG.debugf("poll of %s failed: %s; trying the next source", source, reason);
    boolean moreSources = selector.recordFailure(source);
    finishPoll(moreSources ? SyncTimings.MIN_POLL_INTERVAL_MS : SyncTimings.POLL_INTERVAL_MS);
  }

  private synchronized void finishPoll(long intervalMs) {
    pollInProgress = false;
    long delayFromLastPollMs = earlyPollRequested ? SyncTimings.MIN_POLL_INTERVAL_MS : intervalMs;
    schedule(Math.max(0, lastPollAtMs + delayFromLastPollMs - clock.millis()));
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
      SourceQuality quality;
      long previousRevision = exchange.configuration().revision();
      try {
        quality = exchange.accept(poll, response);
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        LOG.warnf(
            e, "response of VM %s cannot be decoded; trying the next source", response.getVm());
        quality = SourceQuality.UNUSABLE;
      }
      logChange(previousRevision, response);
      if (quality != SourceQuality.UNUSABLE) {
        succeeded(poll.source(), quality);
      } else {
        failed(poll.source(), "the response is not usable, or its confirmation is too old");
      }
    }

    private void logChange(long previousRevision, SyncResponse response) {
      Configuration current = exchange.configuration();
      if (current.revision() == previousRevision) {
        return;
      }
      ConfigurationReceipt receipt = exchange.lastReceipt();
      DecisionLine.of("configuration updated")
          .with("revision", current.revision())
          .with("previousRevision", previousRevision)
          .with("routing", current.routing().map(RoutingConfiguration::number).orElse(null))
          .with("source", poll.source())
          .with("confirmationAgeMs", response.getConfirmedAgeMs())
          .with("pollMs", clock.millis() - poll.sentAtMs())
          .with("bytes", receipt.bytes())
          .with("parts", receipt.parts())
          .info(LOG);
    }

    @Override
    public void onError(Throwable error) {
      Status status = Status.fromThrowable(error);
      if (status.getCode() == Status.Code.DEADLINE_EXCEEDED) {
        channels.discard(poll.source(), channel);
      } else {
        // The backoff of the channel grows to minutes; a restarted source must be reachable at
        // once.
        channel.resetConnectBackoff();
      }
      failed(poll.source(), status.toString());
    }

    @Override
    public void onCompleted() {
      // The response was already handled.
    }
  }
}
