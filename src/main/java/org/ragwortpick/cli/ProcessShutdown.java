package org.ragwortpick.cli;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.jboss.logging.Logger;
import org.ragwortpick.vm.StoppableProcess;

/** Blocks the main thread of a process until its shutdown is complete. */
final class ProcessShutdown {

  private static final Logger LOG = Logger.getLogger(ProcessShutdown.class);

  private ProcessShutdown() {}

  /**
   * Waits for the graceful stop of a VM, requested by an operator or a termination signal.
   *
   * @param process the VM
   * @return exit code
   */
  static int await(StoppableProcess process) {
    return await(process, () -> {});
  }

  /**
   * Waits for the graceful stop of a process.
   *
   * @param process the process
   * @param afterClose action to run after the process is closed
   * @return exit code
   */
  static int await(StoppableProcess process, Runnable afterClose) {
    CountDownLatch closed = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  process.requestStop();
                  awaitUninterruptibly(closed);
                }));
    try {
      process.stopped().get();
      process.close();
      afterClose.run();
      return ExitCode.OK;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL;
    } catch (ExecutionException | IOException e) {
      LOG.warn("the process did not close cleanly", e);
      return ExitCode.INTERNAL;
    } finally {
      closed.countDown();
    }
  }

  /**
   * Waits for a termination signal, then closes a resource.
   *
   * @param resource resource to close
   * @return exit code
   */
  static int await(AutoCloseable resource) {
    CountDownLatch resourceClosed = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  close(resource);
                  resourceClosed.countDown();
                }));
    awaitUninterruptibly(resourceClosed);
    return ExitCode.OK;
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
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
