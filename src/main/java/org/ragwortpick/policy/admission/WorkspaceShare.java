package org.ragwortpick.policy.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Scheduling state of one workspace. Guarded by the lock of the admission controller. */
final class WorkspaceShare {

  /** Smallest virtual time first, then the earliest deadline of a waiting request. */
  static final Comparator<WorkspaceShare> BY_VIRTUAL_TIME =
      Comparator.<WorkspaceShare>comparingDouble(share -> share.virtualTime)
          .thenComparingLong(WorkspaceShare::firstDeadlineAtMs)
          .thenComparingLong(share -> share.id);

  /** Workspace whose minimum share has been due for longest first. */
  static final Comparator<WorkspaceShare> BY_MINIMUM_DUE =
      Comparator.<WorkspaceShare>comparingDouble(share -> share.dueAtGrant)
          .thenComparingLong(share -> share.id);

  private final String name;
  private final long id;
  private final PriorityQueue<WaitingRequest> waiting =
      new PriorityQueue<>(2, WaitingRequest.BY_DEADLINE);
  private int priority;
  private int weight = 1;
  private int running;
  private double virtualTime;
  private double dueAtGrant;

  /**
   * Creates the state of a workspace without requests.
   *
   * @param name name of the workspace
   * @param id number that breaks ties
   */
  WorkspaceShare(String name, long id) {
    this.name = name;
    this.id = id;
  }

  /**
   * Sets the priority and the weight that the rules state.
   *
   * @param newPriority priority; 0 is the most urgent
   * @param newWeight weight within the priority
   */
  void assign(int newPriority, int newWeight) {
    priority = newPriority;
    weight = Math.max(1, newWeight);
  }

  /**
   * Returns the name.
   *
   * @return name of the workspace
   */
  String name() {
    return name;
  }

  /**
   * Returns the priority.
   *
   * @return priority; 0 is the most urgent
   */
  int priority() {
    return priority;
  }

  /**
   * Returns the weight.
   *
   * @return weight within the priority
   */
  int weight() {
    return weight;
  }

  /**
   * Returns the waiting requests.
   *
   * @return queue ordered by deadline
   */
  PriorityQueue<WaitingRequest> waiting() {
    return waiting;
  }

  /**
   * Counts the admitted requests.
   *
   * @return requests that were not released yet
   */
  int running() {
    return running;
  }

  /**
   * Returns the virtual time.
   *
   * @return grants divided by weight, raised after idle times
   */
  double virtualTime() {
    return virtualTime;
  }

  /**
   * Tells whether the minimum share entitles the workspace to the next grant.
   *
   * @param grants grants so far
   * @return true if the workspace is served regardless of priority
   */
  boolean isDue(long grants) {
    return dueAtGrant <= grants;
  }

  /**
   * Counts the grants until the minimum share has served some requests.
   *
   * @param grants grants so far
   * @param requests number of requests
   * @param minimumInterval grants within which the minimum share guarantees one
   * @return number of grants
   */
  double grantsUntilMinimumServes(long grants, long requests, double minimumInterval) {
    return Math.max(0, dueAtGrant - grants) + (requests - 1) * minimumInterval + 1;
  }

  /**
   * Raises the virtual time to a minimum, so that an idle time earns no additional grants.
   *
   * @param minimum virtual time of the priority
   */
  void raiseVirtualTime(double minimum) {
    virtualTime = Math.max(virtualTime, minimum);
  }

  /**
   * Accounts for a grant.
   *
   * @param grants grants so far, without this one
   * @param minimumInterval grants within which the minimum share guarantees one
   */
  void charge(long grants, double minimumInterval) {
    running++;
    virtualTime += 1.0 / weight;
    dueAtGrant =
        isDue(grants)
            ? Math.max(grants + 1, dueAtGrant + minimumInterval)
            : grants + minimumInterval;
  }

  /**
   * Releases the permit of an admitted request.
   *
   * @return false if no permit is held
   */
  boolean release() {
    if (running == 0) {
      return false;
    }
    running--;
    return true;
  }

  /**
   * Tells whether the workspace has no requests.
   *
   * @return true if nothing runs and nothing waits
   */
  boolean isIdle() {
    return running == 0 && waiting.isEmpty();
  }

  private long firstDeadlineAtMs() {
    return waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().deadlineAtMs();
  }
}
