package org.ragwortpick.logging;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Limits the log lines per second for each combination of logger, level and message, so that high
 * load or a repeated failure does not flood the log. The first line of a later second states how
 * many lines were omitted.
 */
final class LineRateFilter implements Filter {

  private static final long WINDOW_MS = 1_000;

  private final Clock clock;
  private final int maxLinesPerSecond;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a filter.
   *
   * @param clock monotonic clock
   * @param maxLinesPerSecond maximum number of lines per second for each combination
   */
  LineRateFilter(Clock clock, int maxLinesPerSecond) {
    this.clock = clock;
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord record) {
    Window window =
        windows.computeIfAbsent(
            record.getLoggerName() + record.getLevel() + record.getMessage(), key -> new Window());
    long nowMs = clock.millis();
    if (nowMs - window.startedAtMs >= WINDOW_MS) {
      int omitted = window.lines - maxLinesPerSecond;
      if (omitted > 0) {
        record.setMessage(record.getMessage() + " (" + omitted + " lines of this kind omitted)");
      }
      window.startedAtMs = nowMs;
      window.lines = 0;
    }
    window.lines++;
    return window.lines <= maxLinesPerSecond;
  }

  private static final class Window {
    private long startedAtMs;
    private int lines;
  }
}
