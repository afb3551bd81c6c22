package org.ragwortpick.entry;

/** One-shot timers of the request path. Tests replace them by timers on a manual clock. */
public interface Timers {

  /**
   * Runs a task once after a delay.
   *
   * @param delayMs delay in milliseconds; negative values count as 0
   * @param task task to run
   * @return handle of the timer
   */
  Timer schedule(long delayMs, Runnable task);

  /** Handle of a scheduled task. */
  interface Timer {

    /** Prevents the task from running if it has not started. */
    void cancel();
  }
}
