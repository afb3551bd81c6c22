package org.ragwortpick.forward;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;

/** Logs input that cannot be read, once per source and interval. Confined to the I/O thread. */
public final class InvalidInputLog {

  private static final Logger LOG = Logger.getLogger(InvalidInputLog.class);
  private static final long INTERVAL_MS = 60_000;

  private final Clock clock;
  private final Map<String, Long> loggedAtMsBySource = new HashMap<>();

  /**
   * Creates an instance that has logged nothing.
   *
   * @param clock monotonic clock
   */
  public InvalidInputLog(Clock clock) {
    this.clock = clock;
  }

  /**
   * Logs a value, unless one of the same source was logged recently.
   *
   * @param decision constant text that names the input and what is done with it
   * @param kind kind of the source
   * @param source name of the source
   * @param value the value
   */
  void log(String decision, String kind, String source, String value) {
    long nowMs = clock.millis();
    String key = kind + ' ' + source;
    Long loggedAtMs = loggedAtMsBySource.get(key);
    if (loggedAtMs != null && nowMs - loggedAtMs < INTERVAL_MS) {
      return;
    }
    loggedAtMsBySource.put(key, nowMs);
    DecisionLine.of(decision).with(kind, source).with("value", value).info(LOG);
  }

  /** Drops the sources whose last line is longer ago than the interval. */
  public void expire() {
    long nowMs = clock.millis();
    loggedAtMsBySource.values().removeIf(loggedAtMs -> nowMs - loggedAtMs >= INTERVAL_MS);
  }
}
