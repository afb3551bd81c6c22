package org.ragwortpick.common;

import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;

/**
 * Scheduled executor that passes errors of its tasks to the uncaught exception handler of the
 * thread. The standard executor keeps them in a future that nobody reads, so that a periodic task
 * ends without a sign.
 */
public final class ReportingScheduler extends ScheduledThreadPoolExecutor {

  /**
   * Creates an executor.
   *
   * @param threads number of threads
   * @param threadFactory creates the threads
   */
  public ReportingScheduler(int threads, ThreadFactory threadFactory) {
    super(threads, threadFactory);
  }

  /**
   * Creates an executor with one daemon thread.
   *
   * @param name name of the thread
   * @return the executor
   */
  public static ReportingScheduler singleDaemon(String name) {
    return new ReportingScheduler(
        1,
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }

  @Override
  protected void afterExecute(Runnable task, Throwable thrown) {
    super.afterExecute(task, thrown);
    // A periodic task that goes on is not done.
    if (thrown == null && task instanceof Future<?> future && future.isDone()) {
      report(future);
    }
  }

  private static void report(Future<?> future) {
    try {
      future.get();
    } catch (CancellationException e) {
      // The task was cancelled on purpose.
      return;
    } catch (ExecutionException e) {
      Thread current = Thread.currentThread();
      current.getUncaughtExceptionHandler().uncaughtException(current, e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
