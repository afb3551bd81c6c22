package org.ragwortpick.forward;

import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.routing.Route;

/**
 * Decides whether a request is sent to another upstream.
 *
 * <p>Load answered: a service that fails or sheds. Each repeat costs a place in it, so repeats are
 * bounded by the route and by a budget that all VMs share out among themselves.
 */
final class RepeatPolicy {

  /** Connections that are tried for one request when upstreams are not reached. */
  private static final int MAX_UNREACHED = 3;

  private final Route route;
  private final RetryBudget budget;
  private int sends;
  private int unreached;
  private boolean mayHaveRun;

  /**
   * Creates the policy of one request.
   *
   * @param route the route
   * @param budget budget of the service
   */
  RepeatPolicy(Route route, RetryBudget budget) {
    this.route = route;
    this.budget = budget;
  }

  /** Notes that the request is sent. */
  void sending() {
    sends++;
  }

  /**
   * Returns how often the request was sent.
   *
   * @return number of sends, including those that reached no upstream
   */
  int sends() {
    return sends;
  }

  /**
   * Tells whether an upstream may have run the request, so that no refusal may deny it.
   *
   * @return whether a send ended with an error of its upstream or without a usable answer
   */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Decides after a send.
   *
   * @param outcome how it ended
   * @return whether the request is sent again
   */
  boolean mayRepeat(SendOutcome outcome) {
    mayHaveRun |= outcome == SendOutcome.FAILED || outcome == SendOutcome.LOST;
    if (outcome == SendOutcome.NOT_REACHED) {
      unreached++;
      return unreached < MAX_UNREACHED;
    }
    boolean allowed = outcome == SendOutcome.NOT_RUN || route.repeatable();
    return allowed && sends - unreached < route.maxAttempts() && budget.tryTake();
  }
}
