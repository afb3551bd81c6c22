package org.ragwortpick.forward;

import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryDecision;
import org.ragwortpick.routing.Route;

/**
 * Decides after an attempt whether a request is repeated at another upstream.
 *
 * <p>Each repeat takes a slot of a service that may be failing or shedding load already, so repeats
 * are limited by the route and by a retry budget that is divided among the VMs.
 */
final class RepeatPolicy {

  /** Maximum number of attempts of one request that do not reach an upstream. */
  private static final int MAX_UNREACHED_ATTEMPTS = 3;

  private final Route route;
  private final RetryBudget budget;
  private int attempts;
  private int unreachedAttempts;
  private boolean mayHaveRun;
  private RepeatDecision lastDecision = RepeatDecision.NONE;

  /**
   * Creates the policy of one request.
   *
   * @param route the route
   * @param budget retry budget of the service
   */
  RepeatPolicy(Route route, RetryBudget budget) {
    this.route = route;
    this.budget = budget;
  }

  /** Counts an attempt that starts. */
  void onAttemptStarted() {
    attempts++;
  }

  /**
   * Returns the number of attempts.
   *
   * @return number of attempts, including those that did not reach an upstream
   */
  int attempts() {
    return attempts;
  }

  /**
   * Returns whether an upstream may have run the request, in which case no refusal may state the
   * contrary.
   *
   * @return whether an attempt ended with an error of its upstream or without a usable response
   */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Returns the last decision on a repeat.
   *
   * @return the decision; {@link RepeatDecision#NONE} before the first one
   */
  RepeatDecision lastDecision() {
    return lastDecision;
  }

  /**
   * Records the outcome of an attempt and decides whether the request is repeated. A repeat takes
   * from the retry budget if the attempt reached an upstream.
   *
   * @param outcome outcome of the attempt
   * @param suspected whether the request may have ended the upstream
   * @return whether the request is repeated
   */
  boolean mayRepeat(AttemptOutcome outcome, boolean suspected) {
    mayHaveRun |= outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.LOST;
    lastDecision = decide(outcome, suspected);
    return lastDecision.repeats();
  }

  private RepeatDecision decide(AttemptOutcome outcome, boolean suspected) {
    if (outcome == AttemptOutcome.NOT_REACHED || outcome == AttemptOutcome.NOT_PERMITTED) {
      unreachedAttempts++;
      return unreachedAttempts < MAX_UNREACHED_ATTEMPTS
          ? RepeatDecision.UNREACHED
          : RepeatDecision.MAX_ATTEMPTS;
    }
    if (outcome != AttemptOutcome.NOT_RUN && (!route.repeatable() || suspected)) {
      return RepeatDecision.NOT_REPEATABLE;
    }
    if (attempts - unreachedAttempts >= route.maxAttempts()) {
      return RepeatDecision.MAX_ATTEMPTS;
    }
    RetryDecision decision = budget.take();
    return new RepeatDecision(
        decision.granted() ? "granted" : "denied", decision.granted(), decision.toString());
  }
}
