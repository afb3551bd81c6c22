package org.ragwortpick.batch;

/** What an upstream says of one piece. */
public sealed interface PieceResult {

  /**
   * The piece was produced.
   *
   * @param handle handle of the result at the upstream that made it
   */
  record Produced(String handle) implements PieceResult {}

  /**
   * The piece was not produced.
   *
   * @param cause why
   */
  record NotProduced(Cause cause) implements PieceResult {}

  /** Why a piece was not produced. */
  enum Cause {
    /** Its remaining time had passed when its turn came. */
    LATE,
    /** An input does not exist any more. */
    INPUT_GONE,
    /** The upstream has no room for the result. */
    NO_ROOM,
    /** The work failed. */
    FAILED
  }
}
