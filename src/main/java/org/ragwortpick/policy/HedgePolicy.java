package org.ragwortpick.policy;

import java.util.OptionalLong;

/** Decides when a second attempt of a slow stage is worth its cost. */
public interface HedgePolicy {

  /**
   * Returns the delay after which a stage is hedged.
   *
   * @param service service that runs the stage
   * @return delay in milliseconds, or empty if the stage must not be hedged
   */
  OptionalLong delayMs(String service);

  /**
   * Returns the delay after which a stage with a known budget is hedged. A hedge earlier than
   * needed costs an attempt; the delay leaves it enough of the budget to still be of use.
   *
   * @param service service that runs the stage
   * @param stageBudgetMs time that the stage may take in milliseconds
   * @return delay in milliseconds, or empty if the stage must not be hedged
   */
  default OptionalLong delayMs(String service, long stageBudgetMs) {
    return delayMs(service);
  }

  /**
   * Records the time until the first byte of an answer.
   *
   * @param service service that answered
   * @param elapsedMs time in milliseconds
   */
  void recordFirstByte(String service, long elapsedMs);
}
