package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.List;

/** Parses the header that states the number of pieces of each stage of a request. */
final class PieceCounts {

  private static final int MAX_PIECES_PER_STAGE = 1_000;

  private PieceCounts() {}

  /**
   * Parses the numbers of pieces.
   *
   * @param header comma-separated numbers; null if the request has no such header
   * @param stages number of stages of the route
   * @return one number for each stage; 0 for a stage that the header omits
   */
  static List<Integer> parse(String header, int stages) {
    List<Integer> counts = new ArrayList<>();
    String[] parts = header == null ? new String[0] : header.split(",");
    for (int stage = 0; stage < stages; stage++) {
      counts.add(stage < parts.length ? parseCount(parts[stage].trim()) : 0);
    }
    return List.copyOf(counts);
  }

  private static int parseCount(String text) {
    try {
      return Math.max(0, Math.min(MAX_PIECES_PER_STAGE, Integer.parseInt(text)));
    } catch (NumberFormatException e) {
      // A malformed number counts as 0; the upstream then refuses the request for lack of inputs.
      return 0;
    }
  }
}
