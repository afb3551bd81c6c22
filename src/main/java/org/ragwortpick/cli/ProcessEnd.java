package org.ragwortpick.cli;

import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;

/** Keeps a process running until it is told to end. */
final class ProcessEnd {

  private static final Logger LOG = Logger.getLogger(ProcessEnd.class);

  private ProcessEnd() {}

  /**
   * Waits until the process receives a signal to end, then closes a resource.
   *
   * @param resource resource to close
   * @return exit code
   */
  static int await(AutoCloseable resource) {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  close(resource);
                  ended.countDown();
                }));
    try {
      ended.await();
      return ExitCode.OK;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL;
    }
  }

  private static void close(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      LOG.warn("the process did not close cleanly", e);
    }
  }
}
