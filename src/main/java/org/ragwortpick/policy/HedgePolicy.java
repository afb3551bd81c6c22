package org.ragwortpick.policy;

import java.util.OptionalLong;

/** Decides when a slow stage gets a second, concurrent attempt. */
public interface HedgePolicy {

  /**
   * Returns the delay after which a stage is hedged.
   *
   * @param service service that runs the stage
   * @return delay in milliseconds, or empty if the stage must not be hedged
   */
  OptionalLong delayMs(String service);

  /**
   * Returns the delay after which a stage with a time budget is hedged. An early hedge is more
   * often unnecessary, a late one has too little of the budget left to complete.
   *
   * @param service service that runs the stage
   * @param stageBudgetMs time in milliseconds that the stage may take
   * @return delay in milliseconds, or empty if the stage must not be hedged
   */
  default OptionalLong delayMs(String service, long stageBudgetMs) {
    return delayMs(service);
  }

  /**
   * Records the time until the first byte of a response.
   *
   * @param service service that responded
   * @param elapsedMs time in milliseconds
   */
  void recordFirstByte(String service, long elapsedMs);
}
