package org.ragwortpick.control;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.ManualClock;

/** Scheduler that advances the clock by the delay and runs the task in the calling thread. */
final class InlineScheduler extends ScheduledThreadPoolExecutor {

  private final ManualClock clock;

  InlineScheduler(ManualClock clock) {
    super(0);
    this.clock = clock;
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    clock.advanceMs(unit.toMillis(delay));
    task.run();
    return null;
  }
}
