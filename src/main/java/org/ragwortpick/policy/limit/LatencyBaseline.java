package org.ragwortpick.policy.limit;

/** Usual and recent time to the first byte of one upstream. Guarded by its owner. */
final class LatencyBaseline {

  private static final double USUAL_SHARE = 0.02;
  private static final int MIN_SAMPLES = 20;

  /** Load alone doubles the time to the first byte of a full engine. */
  private static final double JUMP_FACTOR = 3.0;

  /** Smaller differences are noise for fast services. */
  private static final double JUMP_MS = 50;

  /** One slow answer in a hundred made warm rerankers look cold. */
  private static final int MIN_SLOW = 3;

  private double usualMs;
  private long samples;
  private int slowInRow;

  /**
   * Records a time.
   *
   * @param firstByteMs time in milliseconds
   */
  void record(long firstByteMs) {
    boolean slow =
        samples >= MIN_SAMPLES
            && firstByteMs > usualMs * JUMP_FACTOR
            && firstByteMs > usualMs + JUMP_MS;
    slowInRow = slow ? slowInRow + 1 : 0;
    samples++;
    double usualShare = Math.max(USUAL_SHARE, 1.0 / samples);
    usualMs += (firstByteMs - usualMs) * usualShare;
  }

  /**
   * Tells whether recent times are far above the usual ones.
   *
   * @return true if they jumped
   */
  boolean hasJumped() {
    return slowInRow >= MIN_SLOW;
  }

  /** Forgets all times. */
  void clear() {
    usualMs = 0;
    samples = 0;
    slowInRow = 0;
  }
}
