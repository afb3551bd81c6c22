package org.ragwortpick.batch;

/**
 * Piece in the queue of a collector.
 *
 * @param submission submission to which the piece belongs
 * @param piece index of the piece
 * @param failures number of calls in which the piece failed or was lost
 */
record WaitingPiece(Submission submission, int piece, int failures) {

  private static final long OTHER_DATA_CENTRE_HANDICAP_MS = 400;

  /**
   * Creates a copy with one more failure.
   *
   * @return the piece to queue again
   */
  WaitingPiece withFailure() {
    return new WaitingPiece(submission, piece, failures + 1);
  }

  /**
   * Returns whether the piece may run in a data centre without traffic between data centres.
   *
   * @param dataCentre the data centre
   * @return whether the piece prefers it or has no preference
   */
  boolean prefers(String dataCentre) {
    String preferred = submission.work().dataCentre();
    return preferred.isEmpty() || preferred.equals(dataCentre);
  }

  /**
   * Returns whether the piece misses its target even if it starts now.
   *
   * @param slot slot that could take it
   * @return whether it is late
   */
  boolean isLate(FreeSlot slot) {
    return submission.targetAtMs() - slot.nowMs() < slot.minCallMs();
  }

  /**
   * Returns the time by which pieces are ordered at a slot. A piece has a handicap at upstreams
   * outside the data centre of its inputs.
   *
   * @param slot slot that could take it
   * @return monotonic time in milliseconds
   */
  long orderAtMs(FreeSlot slot) {
    long handicapMs = prefers(slot.dataCentre()) ? 0 : OTHER_DATA_CENTRE_HANDICAP_MS;
    return submission.targetAtMs() + handicapMs;
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
