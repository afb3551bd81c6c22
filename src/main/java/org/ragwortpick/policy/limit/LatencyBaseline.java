package org.ragwortpick.policy.limit;

/**
 * Smoothed time to the first byte of one upstream, with detection of responses that are far slower.
 * Not thread-safe: guarded by the limit state that owns it.
 */
final class LatencyBaseline {

  private static final double SMOOTHING_FACTOR = 0.02;
  private static final int MIN_SAMPLES = 20;

  /** Load alone doubles the time to the first byte of an engine without free slots. */
  private static final double SLOW_FACTOR = 3.0;

  /** For fast services, smaller differences are noise. */
  private static final double SLOW_MARGIN_MS = 50;

  /** One slow response in a hundred made warm rerankers look cold. */
  private static final int MIN_CONSECUTIVE_SLOW = 3;

  private double baselineMs;
  private long samples;
  private int consecutiveSlow;

  /**
   * Records the time to the first byte of a response.
   *
   * @param firstByteMs time in milliseconds
   */
  void record(long firstByteMs) {
    boolean slow =
        samples >= MIN_SAMPLES
            && firstByteMs > baselineMs * SLOW_FACTOR
            && firstByteMs > baselineMs + SLOW_MARGIN_MS;
    consecutiveSlow = slow ? consecutiveSlow + 1 : 0;
    samples++;
    double factor = Math.max(SMOOTHING_FACTOR, 1.0 / samples);
    baselineMs += (firstByteMs - baselineMs) * factor;
  }

  /**
   * Tells whether the last responses were far slower than the baseline.
   *
   * @return true after several consecutive slow responses
   */
  boolean isExceeded() {
    return consecutiveSlow >= MIN_CONSECUTIVE_SLOW;
  }

  /** Resets the baseline and the count of slow responses. */
  void clear() {
    baselineMs = 0;
    samples = 0;
    consecutiveSlow = 0;
  }
}
