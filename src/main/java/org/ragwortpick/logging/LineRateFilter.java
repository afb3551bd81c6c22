package org.ragwortpick.logging;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Filter;
import java.util.logging.LogRecord;

/**
 * Bounds the lines per second of each kind of message, so that load or a fault that repeats does
 * not multiply the volume. The first line of a later second states how many were left out.
 */
final class LineRateFilter implements Filter {

  private static final long WINDOW_MS = 1_000;

  private final Clock clock;
  private final int linesPerSecond;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * Creates a filter.
   *
   * @param clock monotonic clock
   * @param linesPerSecond most lines of one kind in one second
   */
  LineRateFilter(Clock clock, int linesPerSecond) {
    this.clock = clock;
    this.linesPerSecond = linesPerSecond;
  }

  @Override
  public synchronized boolean isLoggable(LogRecord record) {
    Window window =
        windows.computeIfAbsent(
            record.getLoggerName() + record.getLevel() + record.getMessage(), kind -> new Window());
    long nowMs = clock.millis();
    if (nowMs - window.startedAtMs >= WINDOW_MS) {
      int omitted = window.lines - linesPerSecond;
      if (omitted > 0) {
        record.setMessage(record.getMessage() + " (" + omitted + " lines of this kind omitted)");
      }
      window.startedAtMs = nowMs;
      window.lines = 0;
    }
    window.lines++;
    return window.lines <= linesPerSecond;
  }

  private static final class Window {
    private long startedAtMs;
    private int lines;
  }
}
