package org.ragwortpick.vm;

import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.sync.VmLifeCycle;
import org.ragwortpick.sync.VmState;

/**
 * Graceful stop of a process: waits until its VM is stopped and its requests have ended, or until a
 * timeout.
 */
final class GracefulStop {

  private static final Logger LOG = Logger.getLogger(GracefulStop.class);
  private static final long POLL_INTERVAL_MS = 50;
  private static final long NOT_REQUESTED = Long.MAX_VALUE;

  private final VmLifeCycle lifeCycle;
  private final WorkCounter work;
  private final ScheduledExecutorService scheduler;
  private final Clock clock;
  private final AtomicLong abortAtMs = new AtomicLong(NOT_REQUESTED);
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  /**
   * Creates a stop, which begins on {@link #request}.
   *
   * @param lifeCycle life cycle of the local VM
   * @param work counter of the requests in flight
   * @param scheduler executor of timers
   * @param clock monotonic clock
   */
  GracefulStop(
      VmLifeCycle lifeCycle, WorkCounter work, ScheduledExecutorService scheduler, Clock clock) {
    this.lifeCycle = lifeCycle;
    this.work = work;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /**
   * Begins the stop. Only the first request has an effect.
   *
   * @param timeoutMs time in milliseconds after which requests in flight are aborted; 0 to wait for
   *     none
   */
  void request(long timeoutMs) {
    if (!abortAtMs.compareAndSet(NOT_REQUESTED, clock.millis() + timeoutMs)) {
      return;
    }
    LOG.infof("graceful stop requested, %d requests in flight", work.count());
    lifeCycle.requestStop();
    if (timeoutMs == 0) {
      stopped.complete(null);
      return;
    }
    scheduler.scheduleWithFixedDelay(
        this::completeIfStopped, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    scheduler.schedule(this::completeAtTimeout, timeoutMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the time until requests in flight are aborted.
   *
   * @return time in milliseconds; {@link Long#MAX_VALUE} unless a stop was requested
   */
  long remainingMs() {
    long atMs = abortAtMs.get();
    return atMs == NOT_REQUESTED ? Long.MAX_VALUE : Math.max(0, atMs - clock.millis());
  }

  private void completeIfStopped() {
    if (lifeCycle.state() == VmState.STOPPED) {
      stopped.complete(null);
    }
  }

  private void completeAtTimeout() {
    if (!stopped.isDone()) {
      LOG.warnf("stop timeout expired with %d requests in flight; aborting them", work.count());
      stopped.complete(null);
    }
  }

  /**
   * Returns the end of the stop.
   *
   * @return future that completes when all requests have ended or the timeout has expired
   */
  CompletableFuture<Void> stopped() {
    return stopped;
  }
}
