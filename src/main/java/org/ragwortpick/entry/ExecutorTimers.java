package org.ragwortpick.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/** Timers that run on a scheduled executor. */
public final class ExecutorTimers implements Timers {

  private static final Logger LOG = Logger.getLogger(ExecutorTimers.class);

  private final ScheduledExecutorService executor;

  /**
   * Creates the timers.
   *
   * @param executor executor that runs the tasks; should remove cancelled tasks at once, since most
   *     timers of the request path are cancelled
   */
  public ExecutorTimers(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    try {
      ScheduledFuture<?> future =
          executor.schedule(() -> run(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
      return () -> future.cancel(false);
    } catch (RejectedExecutionException e) {
      LOG.debug("timer not scheduled: the executor has been shut down", e);
      return () -> {};
    }
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("timer task threw an exception; the other timers continue", e);
    }
  }
}
