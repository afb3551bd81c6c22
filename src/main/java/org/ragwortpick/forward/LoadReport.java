package org.ragwortpick.forward;

import java.util.Optional;

/**
 * Load that an upstream reports in a response header.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of slots
 */
record LoadReport(int running, int waiting, int slots) {

  private static final int FIELD_COUNT = 3;

  /**
   * Parses a report.
   *
   * @param text three comma-separated numbers; null if the response has no such header
   * @return the report; empty if the text is not a report
   */
  static Optional<LoadReport> parse(String text) {
    String[] parts = text == null ? new String[0] : text.split(",");
    if (parts.length != FIELD_COUNT) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new LoadReport(
              Integer.parseInt(parts[0].trim()),
              Integer.parseInt(parts[1].trim()),
              Integer.parseInt(parts[2].trim())));
    } catch (NumberFormatException e) {
      // A malformed report is ignored, because the requests in flight are also counted locally.
      return Optional.empty();
    }
  }

  /**
   * Returns the number of requests at the upstream.
   *
   * @return running and waiting requests
   */
  int totalRequests() {
    return running + waiting;
  }
}
