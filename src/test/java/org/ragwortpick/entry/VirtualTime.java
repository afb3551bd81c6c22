package org.ragwortpick.entry;

import java.time.Clock;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.ragwortpick.common.ManualClock;

/**
 * Timers on a manual clock. The calling thread runs the tasks and advances the clock to each one.
 */
public final class VirtualTime implements Timers {

  private final ManualClock clock = new ManualClock();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
  private long order;

  public Clock clock() {
    return clock;
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    Task added = new Task(clock.millis() + Math.max(0, delayMs), order++, task);
    tasks.add(added);
    return () -> tasks.remove(added);
  }

  /** Runs all scheduled tasks, those that are scheduled during the run included. */
  public void runAll() {
    while (!tasks.isEmpty()) {
      Task next = tasks.remove();
      clock.advanceMs(next.atMs() - clock.millis());
      next.action().run();
    }
  }

  /** Runs the tasks that are due up to a moment and advances the clock to it. */
  public void runUntil(long untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
      Task next = tasks.remove();
      clock.advanceMs(next.atMs() - clock.millis());
      next.action().run();
    }
    clock.advanceMs(untilMs - clock.millis());
  }

  private record Task(long atMs, long order, Runnable action) {}
}
