package org.ragwortpick.policy;

/** Shared budget of the attempts that go beyond the first one: retries and hedges. */
public interface RetryBudget {

  /** Records a first attempt, which adds to the budget. */
  void recordFirstAttempt();

  /**
   * Takes one further attempt from the budget.
   *
   * @return true if the attempt may be sent
   */
  boolean tryTake();
}
