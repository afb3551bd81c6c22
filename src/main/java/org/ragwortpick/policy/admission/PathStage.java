package org.ragwortpick.policy.admission;

import java.util.List;

/**
 * Stage of a request that will be submitted later.
 *
 * @param stage position in the route
 * @param service service that runs it
 * @param pieceCount number of pieces
 * @param callMs duration of a call with these pieces alone in milliseconds
 * @param after positions of the stages whose results it needs
 */
public record PathStage(
    int stage, String service, int pieceCount, long callMs, List<Integer> after) {

  /** Copies the list. */
  public PathStage {
    after = List.copyOf(after);
  }
}
