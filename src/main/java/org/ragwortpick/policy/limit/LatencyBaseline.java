package org.ragwortpick.policy.limit;

/** Usual and recent time to the first byte of one upstream. Guarded by its owner. */
final class LatencyBaseline {

  private static final double USUAL_SHARE = 0.02;
  private static final double RECENT_SHARE = 0.4;
  private static final int MIN_SAMPLES = 20;

  /** Load alone doubles the time to the first byte of a full engine. */
  private static final double JUMP_FACTOR = 3.0;

  /** Smaller differences are noise for fast services. */
  private static final double JUMP_MS = 50;

  private double usualMs;
  private double recentMs;
  private long samples;

  /**
   * Records a time.
   *
   * @param firstByteMs time in milliseconds
   */
  void record(long firstByteMs) {
    samples++;
    double usualShare = Math.max(USUAL_SHARE, 1.0 / samples);
    usualMs += (firstByteMs - usualMs) * usualShare;
    recentMs += (firstByteMs - recentMs) * Math.max(RECENT_SHARE, 1.0 / samples);
  }

  /**
   * Tells whether recent times are far above the usual ones.
   *
   * @return true if they jumped
   */
  boolean hasJumped() {
    return samples >= MIN_SAMPLES
        && recentMs > usualMs * JUMP_FACTOR
        && recentMs > usualMs + JUMP_MS;
  }

  /** Forgets all times. */
  void clear() {
    usualMs = 0;
    recentMs = 0;
    samples = 0;
  }
}
