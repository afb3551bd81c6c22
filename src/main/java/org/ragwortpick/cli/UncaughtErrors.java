package org.ragwortpick.cli;

import org.jboss.logging.Logger;

/**
 * Handles what no thread has caught. After an {@link Error}, such as a lack of memory, the state of
 * the thread is unknown, so the process ends and is restarted by its environment. An exception is
 * logged.
 */
final class UncaughtErrors implements Thread.UncaughtExceptionHandler {

  private static final Logger LOG = Logger.getLogger(UncaughtErrors.class);

  private final Runnable endProcess;

  /**
   * Creates the handler.
   *
   * @param endProcess ends the process at once
   */
  UncaughtErrors(Runnable endProcess) {
    this.endProcess = endProcess;
  }

  /** Installs the handler for all threads of this process. */
  static void install() {
    // An orderly exit would wait for a graceful stop, which the lost thread may be needed for.
    Thread.setDefaultUncaughtExceptionHandler(
        new UncaughtErrors(() -> Runtime.getRuntime().halt(ExitCode.INTERNAL)));
  }

  @Override
  public void uncaughtException(Thread thread, Throwable thrown) {
    boolean fatal = thrown instanceof Error;
    try {
      LOG.errorf(
          thrown,
          "uncaught in thread %s; %s",
          thread.getName(),
          fatal ? "the process ends" : "the process goes on");
    } finally {
      if (fatal) {
        endProcess.run();
      }
    }
  }
}
