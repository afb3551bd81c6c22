package org.ragwortpick.policy.admission;

/**
 * Smoothed interval between grants while requests wait. Guarded by the lock of the admission
 * controller.
 */
final class GrantInterval {

  private static final double SMOOTHING_FACTOR = 0.05;
  private static final int MIN_SAMPLES = 20;

  private double meanMs;
  private long samples;
  private long lastGrantAtMs = -1;

  /**
   * Records a grant to a request that had to wait.
   *
   * @param nowMs current time
   */
  void recordGrant(long nowMs) {
    if (lastGrantAtMs >= 0) {
      long sampleMs = nowMs - lastGrantAtMs;
      samples++;
      double factor = Math.max(SMOOTHING_FACTOR, 1.0 / samples);
      meanMs += (sampleMs - meanMs) * factor;
    }
    lastGrantAtMs = nowMs;
  }

  /**
   * Interrupts the measurement while no request waits, so that idle time does not count as an
   * interval.
   */
  void pause() {
    lastGrantAtMs = -1;
  }

  /**
   * Returns the mean interval between grants.
   *
   * @return time in milliseconds; 0 while there are too few samples
   */
  double meanMs() {
    return samples < MIN_SAMPLES ? 0 : meanMs;
  }
}
