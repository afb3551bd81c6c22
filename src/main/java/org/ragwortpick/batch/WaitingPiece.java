package org.ragwortpick.batch;

/**
 * Piece in the queue of a collector.
 *
 * @param submission the other pieces of the stage
 * @param piece number of the piece
 * @param failures calls in which the piece failed or was lost
 */
record WaitingPiece(Submission submission, int piece, int failures) {

  /**
   * Counts one more failed call.
   *
   * @return the piece to queue again
   */
  WaitingPiece failed() {
    return new WaitingPiece(submission, piece, failures + 1);
  }

  /**
   * Describes the piece for an upstream.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the call
   */
  PieceCall call(long nowMs) {
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
