package org.ragwortpick.batch;

import java.util.List;

/** Outcome of a call with a batch of pieces. */
public sealed interface BatchOutcome {

  /**
   * The upstream returned a result for each piece.
   *
   * @param results results in the order of the pieces
   */
  record Answered(List<PieceResult> results) implements BatchOutcome {

    /**
     * Copies the results.
     *
     * @param results results in the order of the pieces
     */
    public Answered {
      results = List.copyOf(results);
    }
  }

  /** The upstream refused the call because it was full, and executed none of it. */
  record Refused() implements BatchOutcome {}

  /** The call did not reach the upstream, or a different upstream uses its address. */
  record NotReached() implements BatchOutcome {}

  /** The outcome is unknown. The pieces may be requested again. */
  record Lost() implements BatchOutcome {}
}
