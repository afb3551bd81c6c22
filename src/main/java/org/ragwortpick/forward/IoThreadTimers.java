package org.ragwortpick.forward;

import java.util.concurrent.TimeUnit;
import org.ragwortpick.entry.Timers;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Timers whose tasks run on one I/O thread. */
public final class IoThreadTimers implements Timers {

  private final XnioIoThread thread;

  /**
   * Creates the timers.
   *
   * @param thread I/O thread that runs the tasks
   */
  public IoThreadTimers(XnioIoThread thread) {
    this.thread = thread;
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    if (delayMs <= 0) {
      thread.execute(task);
      return () -> {};
    }
    XnioExecutor.Key key = thread.executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
