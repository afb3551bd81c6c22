package org.ragwortpick.batch;

/**
 * Upstreams that are faster than one with a free slot.
 *
 * @param slowCallMs expected duration of a full call at the upstream with the free slot in
 *     milliseconds
 * @param fastCallMs expected duration of a full call at the faster ones in milliseconds
 * @param freeAtMs monotonic time in milliseconds at which the first faster one is expected to be
 *     free
 * @param pieces number of pieces that one call of each of them takes
 */
record FasterUpstreams(long slowCallMs, long fastCallMs, long freeAtMs, int pieces) {

  /** No upstream is faster. */
  static final FasterUpstreams NONE = new FasterUpstreams(0, 0, Long.MAX_VALUE, 0);

  /**
   * Returns whether a piece misses its target at the free slot and meets it at a faster upstream.
   *
   * @param piece the piece
   * @param nowMs monotonic time in milliseconds
   * @return whether the piece is better served later by a faster upstream
   */
  boolean areBetterFor(WaitingPiece piece, long nowMs) {
    long targetAtMs = piece.submission().targetAtMs();
    return pieces > 0
        && nowMs + slowCallMs > targetAtMs
        && Math.max(nowMs, freeAtMs) + fastCallMs <= targetAtMs;
  }
}
