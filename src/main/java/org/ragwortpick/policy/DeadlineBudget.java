package org.ragwortpick.policy;

import org.ragwortpick.config.Pipeline;

/** Divides the remaining time of a request among its stages, based on their measured times. */
public interface DeadlineBudget {

  /**
   * Computes the time that a stage may take.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the stage that is about to start
   * @param remainingMs time until the deadline in milliseconds
   * @return time for the stage in milliseconds; at most the remaining time
   */
  long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs);

  /**
   * Tells whether the remaining stages can probably finish before the deadline.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the first remaining stage
   * @param remainingMs time until the deadline in milliseconds
   * @return false if the request would probably miss its deadline
   */
  boolean canFinish(Pipeline pipeline, int stageIndex, long remainingMs);

  /**
   * Records the time that a stage took.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the stage
   * @param elapsedMs time in milliseconds
   */
  void recordStage(Pipeline pipeline, int stageIndex, long elapsedMs);

  /**
   * Estimates a high percentile of the time that the remaining stages take. A request stops waiting
   * for admission once less than this time is left until its deadline.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the first remaining stage
   * @return time in milliseconds; 0 while there are too few measurements
   */
  default long estimateRemainingMs(Pipeline pipeline, int stageIndex) {
    return 0;
  }
}
