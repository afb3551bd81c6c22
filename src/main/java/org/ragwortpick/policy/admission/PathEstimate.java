package org.ragwortpick.policy.admission;

/**
 * Expected time from the submission of the first stage to the response.
 *
 * @param waitMs part of the time that is spent in queues in milliseconds
 * @param totalMs whole time in milliseconds
 */
public record PathEstimate(long waitMs, long totalMs) {

  /** Wait that is within the error of the estimate; no request is refused for less. */
  private static final long MIN_WAIT_MS = 50;

  /**
   * Returns whether waiting makes a request miss its latency objective.
   *
   * @param objectiveRemainingMs time until the objective in milliseconds
   * @return whether the request is better refused while others wait
   */
  public boolean misses(long objectiveRemainingMs) {
    return waitMs >= MIN_WAIT_MS && totalMs > objectiveRemainingMs;
  }
}
