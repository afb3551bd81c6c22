package org.ragwortpick.standin.load;

/**
 * Cost of one stage over all answers.
 *
 * @param answers answers that had the stage
 * @param attempts attempts
 * @param hedges hedges
 * @param tokens tokens
 * @param elapsedMs time in milliseconds
 */
public record StageTotals(long answers, long attempts, long hedges, long tokens, long elapsedMs) {

  /** Totals before the first answer. */
  static final StageTotals NONE = new StageTotals(0, 0, 0, 0, 0);

  /**
   * Adds other totals.
   *
   * @param other totals to add
   * @return the sum
   */
  StageTotals plus(StageTotals other) {
    return new StageTotals(
        answers + other.answers,
        attempts + other.attempts,
        hedges + other.hedges,
        tokens + other.tokens,
        elapsedMs + other.elapsedMs);
  }
}
