package org.ragwortpick.rollout;

/**
 * Detects that bad responses are more frequent than usual, from some moment on. It sums the log
 * likelihood ratio of an assumed bad rate and of the usual rate and starts again from zero whenever
 * the sum becomes negative (CUSUM), so that good responses of the past do not hide a version that
 * turns bad.
 */
final class ChangeDetector {

  /** Sum that a version as good as the usual one reaches about once in 10,000 responses. */
  static final double ALARM = Math.log(10_000);

  private final double[] badRates;
  private final double[] sums;

  /**
   * Creates a detector.
   *
   * @param badRates assumed rates of bad responses of a bad version, ascending
   */
  ChangeDetector(double... badRates) {
    this.badRates = badRates.clone();
    this.sums = new double[badRates.length];
  }

  /**
   * Adds responses.
   *
   * @param responses number of responses
   * @param bad number of bad ones among them
   * @param usualRate usual rate of bad responses
   */
  void add(long responses, long bad, double usualRate) {
    for (int i = 0; i < sums.length; i++) {
      // An assumed rate close to the usual one would turn small differences into an alarm.
      double badRate = Math.min(0.98, Math.max(badRates[i], 3 * usualRate));
      double ratio =
          usualRate >= badRate
              ? 0
              : bad * Math.log(badRate / usualRate)
                  + (responses - bad) * Math.log((1 - badRate) / (1 - usualRate));
      sums[i] = Math.max(0, sums[i] + ratio);
    }
  }

  /**
   * Returns the strongest evidence so far.
   *
   * @return log likelihood ratio; bad from {@link #ALARM} on
   */
  double evidence() {
    double strongest = 0;
    for (double sum : sums) {
      strongest = Math.max(strongest, sum);
    }
    return strongest;
  }
}
