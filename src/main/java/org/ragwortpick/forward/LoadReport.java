package org.ragwortpick.forward;

import java.util.Optional;

/**
 * Load that an upstream states in an answer.
 *
 * @param running requests that it runs
 * @param waiting requests that wait
 * @param slots requests that it can run at once
 */
record LoadReport(int running, int waiting, int slots) {

  private static final int FIELDS = 3;

  /**
   * Reads a report.
   *
   * @param text three comma-separated numbers; null if the answer has none
   * @return the report; empty if the text is no report
   */
  static Optional<LoadReport> parse(String text) {
    String[] parts = text == null ? new String[0] : text.split(",");
    if (parts.length != FIELDS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new LoadReport(
              Integer.parseInt(parts[0].trim()),
              Integer.parseInt(parts[1].trim()),
              Integer.parseInt(parts[2].trim())));
    } catch (NumberFormatException e) {
      // An unreadable report is as good as none: the requests in flight are counted here.
      return Optional.empty();
    }
  }

  /**
   * Returns how many requests are there.
   *
   * @return running and waiting requests
   */
  int requests() {
    return running + waiting;
  }
}
