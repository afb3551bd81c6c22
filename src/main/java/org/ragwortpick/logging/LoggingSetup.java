package org.ragwortpick.logging;

import java.util.Map;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.StructuredFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;
import org.ragwortpick.common.MonotonicClock;

/** Configures the log output of the process: one JSON object per line on standard output. */
public final class LoggingSetup {

  /** System property that names the log manager. */
  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /**
   * Capacity of the queue for standard output; a full queue drops lines so that no caller blocks.
   */
  private static final int QUEUE_CAPACITY_LINES = 4_096;

  /** Limit for one message, above the request rate for which one VM is designed. */
  private static final int MAX_LINES_PER_SECOND_PER_MESSAGE = 100;

  private static final Map<String, Level> LEVELS =
      Map.of(
          "TRACE", org.jboss.logmanager.Level.TRACE,
          "DEBUG", org.jboss.logmanager.Level.DEBUG,
          "INFO", org.jboss.logmanager.Level.INFO,
          "WARN", org.jboss.logmanager.Level.WARN,
          "ERROR", org.jboss.logmanager.Level.ERROR);

  private LoggingSetup() {}

  /** Selects the log manager. Must be called before any logger is created. */
  public static void selectLogManager() {
    System.setProperty(MANAGER_PROPERTY, "org.jboss.logmanager.LogManager");
    System.setProperty("org.jboss.logging.provider", "jboss");
  }

  /**
   * Configures the log output.
   *
   * @param levelName TRACE, DEBUG, INFO, WARN or ERROR
   * @param vm name of the VM, written on each line
   */
  public static void configure(String levelName, String vm) {
    JsonFormatter formatter = new JsonFormatter();
    formatter.setPrettyPrint(false);
    formatter.setPrintDetails(false);
    formatter.setExceptionOutputType(StructuredFormatter.ExceptionOutputType.FORMATTED);
    formatter.setMetaData("vm=" + vm);
    ConsoleHandler console = new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, formatter);
    console.setAutoFlush(true);
    AsyncHandler handler = new AsyncHandler(QUEUE_CAPACITY_LINES);
    handler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
    handler.setFilter(new LineRateFilter(new MonotonicClock(), MAX_LINES_PER_SECOND_PER_MESSAGE));
    handler.addHandler(console);
    Logger root = LogContext.getLogContext().getLogger("");
    root.setHandlers(new java.util.logging.Handler[] {handler});
    root.setLevel(org.jboss.logmanager.Level.WARN);
    LogContext.getLogContext()
        .getLogger("org.ragwortpick")
        .setLevel(LEVELS.getOrDefault(levelName, org.jboss.logmanager.Level.INFO));
  }

  /** Writes the queued lines. Must be called before the process ends. */
  public static void close() {
    for (java.util.logging.Handler handler :
        LogContext.getLogContext().getLogger("").getHandlers()) {
      handler.close();
    }
  }
}
