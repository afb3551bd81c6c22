package org.ragwortpick.vm;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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

  private final VmLifeCycle lifeCycle;
  private final WorkCounter work;
  private final ScheduledExecutorService scheduler;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  /**
   * Creates a stop, which begins on {@link #request}.
   *
   * @param lifeCycle life cycle of the local VM
   * @param work counter of the requests in flight
   * @param scheduler executor of timers
   */
  GracefulStop(VmLifeCycle lifeCycle, WorkCounter work, ScheduledExecutorService scheduler) {
    this.lifeCycle = lifeCycle;
    this.work = work;
    this.scheduler = scheduler;
  }

  /**
   * Begins the stop. Has no effect after the stop has ended.
   *
   * @param timeoutMs time in milliseconds after which requests in flight are aborted; 0 to wait for
   *     none
   */
  void request(long timeoutMs) {
    if (lifeCycle.state() == VmState.STOPPED || stopped.isDone()) {
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
