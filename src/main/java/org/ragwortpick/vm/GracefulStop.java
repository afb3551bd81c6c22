package org.ragwortpick.vm;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.sync.VmLifeCycle;
import org.ragwortpick.sync.VmState;

/** Graceful stop of a process: waits until its VM has left and its requests have ended. */
final class GracefulStop {

  private static final Logger LOG = Logger.getLogger(GracefulStop.class);
  private static final long POLL_MS = 50;

  private final VmLifeCycle lifeCycle;
  private final WorkCounter work;
  private final ScheduledExecutorService scheduler;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();

  /**
   * Creates the stop; it begins when it is requested.
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
   * Begins the stop. Later requests change nothing.
   *
   * @param timeoutMs time in milliseconds after which requests in flight are cut off; 0 to wait for
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
    scheduler.scheduleWithFixedDelay(this::check, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    scheduler.schedule(this::endOverdue, timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (lifeCycle.state() == VmState.STOPPED) {
      stopped.complete(null);
    }
  }

  private void endOverdue() {
    if (!stopped.isDone()) {
      LOG.warnf("%d requests are still in flight at the end of the stop timeout", work.count());
      stopped.complete(null);
    }
  }

  /**
   * Completes when the stop has finished all requests.
   *
   * @return the end of the stop
   */
  CompletableFuture<Void> stopped() {
    return stopped;
  }
}
