package org.ragwortpick.logging;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jboss.logging.MDC;

/** Records the decision lines that a class logs, with their fields, until it is closed. */
public final class RecordedLines implements AutoCloseable {

  private final List<Map<String, Object>> lines = new CopyOnWriteArrayList<>();
  private final Handler handler = new Recorder();
  private final Logger logger;
  private final String decision;
  private final Level levelBefore;

  /** Starts to record the lines about one decision. */
  public RecordedLines(String loggerName, String decision) {
    this.logger = Logger.getLogger(loggerName);
    this.decision = decision;
    this.levelBefore = logger.getLevel();
    logger.setLevel(Level.INFO);
    logger.addHandler(handler);
  }

  /** Returns the fields of the lines so far. */
  public List<Map<String, Object>> lines() {
    return List.copyOf(lines);
  }

  @Override
  public void close() {
    logger.removeHandler(handler);
    logger.setLevel(levelBefore);
  }

  private final class Recorder extends Handler {

    @Override
    public void publish(LogRecord logged) {
      if (logged.getMessage().equals(decision)) {
        lines.add(new HashMap<>(MDC.getMap()));
      }
    }

    @Override
    public void flush() {
      // Lines are recorded at once.
    }

    @Override
    public void close() {
      // There is nothing to release.
    }
  }
}
