package org.ragwortpick.policy.admission;

/** Measured time between grants while requests wait. Guarded by the admission controller. */
final class GrantRate {

  private static final double NEW_SAMPLE_SHARE = 0.05;
  private static final int MIN_SAMPLES = 20;

  private double intervalMs;
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
      double share = Math.max(NEW_SAMPLE_SHARE, 1.0 / samples);
      intervalMs += (sampleMs - intervalMs) * share;
    }
    lastGrantAtMs = nowMs;
  }

  /** Interrupts the measurement because no request waits any more. */
  void pause() {
    lastGrantAtMs = -1;
  }

  /**
   * Returns the time between grants.
   *
   * @return time in milliseconds; 0 while too little is measured
   */
  double intervalMs() {
    return samples < MIN_SAMPLES ? 0 : intervalMs;
  }
}
