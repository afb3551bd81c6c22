package org.ragwortpick.batch;

/**
 * Piece in the queue of a collector.
 *
 * @param submission submission to which the piece belongs
 * @param piece index of the piece
 * @param failures number of calls in which the piece failed or was lost
 */
record WaitingPiece(Submission submission, int piece, int failures) {

  /**
   * Creates a copy with one more failure.
   *
   * @return the piece to queue again
   */
  WaitingPiece withFailure() {
    return new WaitingPiece(submission, piece, failures + 1);
  }

  /**
   * Creates the entry of the piece in a call to an upstream.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the entry
   */
  PieceCall toCall(long nowMs) {
    StageWork work = submission.work();
    return new PieceCall(
        work.requestId(),
        work.stage(),
        piece,
        Math.max(1, submission.deadlineAtMs() - nowMs),
        work.key(),
        work.inputs().stream().map(StageInput::handle).toList());
  }
}
