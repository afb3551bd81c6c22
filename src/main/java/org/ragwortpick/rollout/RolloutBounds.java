package org.ragwortpick.rollout;

/**
 * Bounds on what a bad version may cost.
 *
 * @param exposureShare largest share of the requests of a service that may reach a bad version
 *     between the order and the end of its duration
 * @param exposureSlack number of requests allowed in addition to the share
 * @param rollbackMs time in milliseconds after the 50th bad response from which a bad version may
 *     get no request
 */
public record RolloutBounds(double exposureShare, int exposureSlack, long rollbackMs) {

  /** Part of the exposure share that the new version gets at first and later. */
  private static final double FIRST_PART = 0.3;

  private static final double LAST_PART = 0.45;

  /** Part of the exposure slack that it gets in addition, which matters for few requests. */
  private static final double SLACK_PART = 0.4;

  /** Multiple of the exposure share that the slack may add up to. */
  private static final double MAX_PART = 2;

  /** Part of the duration in which the share grows from the first part to the last one. */
  private static final double RAMP_PART = 0.1;

  /**
   * Returns the share of the requests that the new version gets while it is on trial. The rest of
   * the exposure share is left for the time in which all traffic moves.
   *
   * @param elapsedMs time since the order in milliseconds
   * @param durationMs duration of the rollout in milliseconds
   * @return the share, well below the exposure share
   */
  public double shareAt(long elapsedMs, long durationMs) {
    double ramped = Math.min(1, elapsedMs / (RAMP_PART * durationMs));
    return exposureShare * (FIRST_PART + (LAST_PART - FIRST_PART) * ramped);
  }

  /**
   * Returns the share of the requests that the new version gets from now on, such that at the end
   * it has had its part of the exposure share and of the slack.
   *
   * @param elapsedMs time since the order in milliseconds
   * @param durationMs duration of the rollout in milliseconds
   * @param sent requests sent so far to both versions
   * @param sentNew requests sent so far to the new version
   * @param requestsPerMs present rate of requests
   * @return the share
   */
  public double shareAt(
      long elapsedMs, long durationMs, long sent, long sentNew, double requestsPerMs) {
    double usual = shareAt(elapsedMs, durationMs);
    double remaining = requestsPerMs * (durationMs - elapsedMs);
    if (remaining < 1) {
      return usual;
    }
    double wanted =
        LAST_PART * exposureShare * (sent + remaining) + SLACK_PART * exposureSlack - sentNew;
    double ramped = usual / (LAST_PART * exposureShare);
    return Math.max(0, Math.min(MAX_PART * exposureShare, ramped * wanted / remaining));
  }

  /**
   * Returns the age of its view up to which a VM sends requests to a version on trial. Counts need
   * up to 1.5 s to the leader and so does its decision back; a VM that does not hear of it must
   * have stopped by then too.
   *
   * @return age in milliseconds
   */
  public long maxViewAgeMs() {
    return rollbackMs * 2 / 5;
  }
}
