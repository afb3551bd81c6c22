package org.ragwortpick.policy;

import org.ragwortpick.config.Pipeline;

/** Divides the time that remains of a request over its stages, from the measured need of each. */
public interface DeadlineBudget {

  /**
   * Returns the time that a stage may take.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the stage that is about to start
   * @param remainingMs time until the deadline in milliseconds
   * @return time for the stage in milliseconds; at most the remaining time
   */
  long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs);

  /**
   * Tells whether the stages that are left can finish in time.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the first stage that is left
   * @param remainingMs time until the deadline in milliseconds
   * @return false if the request would miss its deadline
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
   * Returns the time that the stages that are left need at most in most cases. A request waits at
   * admission no later than its deadline less this time.
   *
   * @param pipeline pipeline of the request
   * @param stageIndex index of the first stage that is left
   * @return time in milliseconds; 0 while too little is measured
   */
  default long needMs(Pipeline pipeline, int stageIndex) {
    return 0;
  }
}
