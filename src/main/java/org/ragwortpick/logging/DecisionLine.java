package org.ragwortpick.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Log line of one decision: what was decided and the inputs that decided it, as fields of the JSON
 * line under {@code mdc}.
 */
public final class DecisionLine {

  private final String decision;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private DecisionLine(String decision) {
    this.decision = decision;
  }

  /**
   * Begins a line.
   *
   * @param decision what was decided, a fixed text
   * @return the line
   */
  public static DecisionLine of(String decision) {
    return new DecisionLine(decision);
  }

  /**
   * Adds an input or the outcome.
   *
   * @param name name of the field, with its unit
   * @param value value
   * @return this line
   */
  public DecisionLine with(String name, Object value) {
    fields.put(name, String.valueOf(value));
    return this;
  }

  /**
   * Writes the line.
   *
   * @param log logger
   */
  public void info(Logger log) {
    if (!log.isInfoEnabled()) {
      return;
    }
    fields.forEach(MDC::put);
    try {
      log.info(decision);
    } finally {
      fields.keySet().forEach(MDC::remove);
    }
  }
}
