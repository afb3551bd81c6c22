package org.ragwortpick.standin.load;

/**
 * Cost of one stage, summed over all responses.
 *
 * @param responses number of responses that report the stage
 * @param attempts number of attempts
 * @param hedges number of hedged attempts
 * @param tokens number of generated tokens
 * @param elapsedMs time spent in the stage, in milliseconds
 */
public record StageTotals(long responses, long attempts, long hedges, long tokens, long elapsedMs) {

  /** Totals before the first response. */
  static final StageTotals NONE = new StageTotals(0, 0, 0, 0, 0);

  /**
   * Adds other totals.
   *
   * @param other totals to add
   * @return the sum
   */
  StageTotals plus(StageTotals other) {
    return new StageTotals(
        responses + other.responses,
        attempts + other.attempts,
        hedges + other.hedges,
        tokens + other.tokens,
        elapsedMs + other.elapsedMs);
  }
}
