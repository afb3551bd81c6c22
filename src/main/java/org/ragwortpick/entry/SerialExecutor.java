package org.ragwortpick.entry;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/**
 * Runs the tasks of one request one after the other, in the thread that submits a task while the
 * queue is empty.
 *
 * <p>No lock is held while a task runs, so a task may submit tasks of another request.
 */
public final class SerialExecutor implements Executor {

  private static final Logger LOG = Logger.getLogger(SerialExecutor.class);

  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();
  private volatile Runnable failureHandler = () -> {};

  /**
   * Sets the handler that runs after a task has thrown an exception.
   *
   * @param handler handler to run as a further task; should end the request
   */
  public void onFailure(Runnable handler) {
    this.failureHandler = handler;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    do {
      run(tasks.remove());
    } while (pending.decrementAndGet() != 0);
  }

  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("task of a request failed; running the failure handler of the request", e);
      if (task != failureHandler) {
        execute(failureHandler);
      }
    }
  }
}
