package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.List;

/** Number of pieces of each stage of a request. */
final class PieceCounts {

  private static final int MAX_PIECES = 1_000;

  private PieceCounts() {}

  /**
   * Reads the numbers of pieces.
   *
   * @param header comma-separated numbers; null if the caller sent none
   * @param stages number of stages of the route
   * @return one number for each stage; a stage that the header leaves out has no pieces
   */
  static List<Integer> parse(String header, int stages) {
    List<Integer> counts = new ArrayList<>();
    String[] parts = header == null ? new String[0] : header.split(",");
    for (int stage = 0; stage < stages; stage++) {
      counts.add(stage < parts.length ? number(parts[stage].trim()) : 0);
    }
    return List.copyOf(counts);
  }

  private static int number(String text) {
    try {
      return Math.max(0, Math.min(MAX_PIECES, Integer.parseInt(text)));
    } catch (NumberFormatException e) {
      // An unreadable number asks for nothing; the upstream refuses a request without its inputs.
      return 0;
    }
  }
}
