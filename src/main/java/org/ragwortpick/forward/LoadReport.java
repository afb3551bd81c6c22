package org.ragwortpick.forward;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Load that an upstream reports in a response header.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of slots
 * @param workTimePercent how long work takes there at this moment in percent of the usual time;
 *     empty if the upstream does not state it, or states no positive number
 */
record LoadReport(int running, int waiting, int slots, OptionalDouble workTimePercent) {

  private static final int REQUIRED_FIELDS = 3;
  private static final Pattern COUNT = Pattern.compile("\\d{1,9}");
  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");

  /**
   * Parses a report. Fields after the fourth are ignored.
   *
   * @param text three or more comma-separated numbers; null if the response has no such header
   * @return the report; empty if one of its first three fields is missing or no number of 0 or more
   */
  static Optional<LoadReport> parse(String text) {
    String[] fields = text == null ? new String[0] : text.split(",");
    if (fields.length < REQUIRED_FIELDS) {
      return Optional.empty();
    }
    int[] counts = new int[REQUIRED_FIELDS];
    for (int i = 0; i < REQUIRED_FIELDS; i++) {
      String field = fields[i].trim();
      if (!COUNT.matcher(field).matches()) {
        return Optional.empty();
      }
      counts[i] = Integer.parseInt(field);
    }
    return Optional.of(new LoadReport(counts[0], counts[1], counts[2], workTimePercent(fields)));
  }

  private static OptionalDouble workTimePercent(String[] fields) {
    if (fields.length == REQUIRED_FIELDS) {
      return OptionalDouble.empty();
    }
    String field = fields[REQUIRED_FIELDS].trim();
    double percent = DECIMAL.matcher(field).matches() ? Double.parseDouble(field) : 0;
    return percent > 0 ? OptionalDouble.of(percent) : OptionalDouble.empty();
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
