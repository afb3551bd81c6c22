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
   * Records the time until the first byte of an answer.
   *
   * @param service service that answered
   * @param elapsedMs time in milliseconds
   */
  void recordFirstByte(String service, long elapsedMs);
}
