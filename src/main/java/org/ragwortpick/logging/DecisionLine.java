package org.ragwortpick.logging;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Log line about one decision. Its inputs and outcome are fields under {@code mdc} of the JSON
 * line.
 */
public final class DecisionLine {

  private final String decision;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private DecisionLine(String decision) {
    this.decision = decision;
  }

  /**
   * Creates a line without fields.
   *
   * @param decision constant text that names the decision
   * @return the line
   */
  public static DecisionLine of(String decision) {
    return new DecisionLine(decision);
  }

  /**
   * Adds a field with an input or the outcome of the decision.
   *
   * @param name name of the field, including its unit
   * @param value value
   * @return this line
   */
  public DecisionLine with(String name, Object value) {
    fields.put(name, String.valueOf(value));
    return this;
  }

  /**
   * Writes the line at level INFO.
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
