package org.ragwortpick.policy;

/** Shared budget for retries and hedges. */
public interface RetryBudget {

  /** Records a first attempt, which adds to the budget. */
  void recordFirstAttempt();

  /**
   * Takes one retry or hedge from the budget if it allows one.
   *
   * @return the decision
   */
  RetryDecision take();

  /**
   * Takes one retry or hedge from the budget.
   *
   * @return true if the attempt may be sent
   */
  default boolean tryTake() {
    return take().granted();
  }
}
