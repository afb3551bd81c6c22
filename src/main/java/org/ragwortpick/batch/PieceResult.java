package org.ragwortpick.batch;

/** Result that an upstream reports for one piece. */
public sealed interface PieceResult {

  /**
   * The piece was produced.
   *
   * @param handle handle of the result at the upstream that produced it
   */
  record Produced(String handle) implements PieceResult {}

  /**
   * The piece was not produced.
   *
   * @param cause reason
   */
  record NotProduced(Cause cause) implements PieceResult {}

  /** Reason for which a piece was not produced. */
  enum Cause {
    /** Its deadline had passed before the upstream started it. */
    LATE,
    /** An input was released or has expired. */
    INPUT_GONE,
    /** The upstream has no result capacity left. */
    NO_ROOM,
    /** Execution failed. */
    FAILED
  }
}
