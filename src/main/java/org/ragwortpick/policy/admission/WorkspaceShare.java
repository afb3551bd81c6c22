package org.ragwortpick.policy.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Mutable account of one workspace, guarded by the admission controller. */
final class WorkspaceShare {

  /** Smallest virtual time first, then the most urgent request. */
  static final Comparator<WorkspaceShare> BY_VIRTUAL_TIME =
      Comparator.<WorkspaceShare>comparingDouble(share -> share.virtualTime)
          .thenComparingLong(WorkspaceShare::firstDeadlineAtMs)
          .thenComparingLong(share -> share.id);

  /** Workspace whose minimum has been due for longest first. */
  static final Comparator<WorkspaceShare> BY_DUE =
      Comparator.<WorkspaceShare>comparingDouble(share -> share.dueAtGrant)
          .thenComparingLong(share -> share.id);

  private final String name;
  private final long id;
  private final PriorityQueue<WaitingRequest> waiting =
      new PriorityQueue<>(2, WaitingRequest.BY_DEADLINE);
  private int rank;
  private int weight = 1;
  private int running;
  private double virtualTime;
  private double dueAtGrant;

  /**
   * Creates an account.
   *
   * @param name name of the workspace
   * @param id number that breaks ties
   */
  WorkspaceShare(String name, long id) {
    this.name = name;
    this.id = id;
  }

  /**
   * Sets the place in the rules.
   *
   * @param newRank rank; 0 is the highest
   * @param newWeight weight within the rank
   */
  void assign(int newRank, int newWeight) {
    rank = newRank;
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
   * Returns the rank.
   *
   * @return rank; 0 is the highest
   */
  int rank() {
    return rank;
  }

  /**
   * Returns the weight.
   *
   * @return weight within the rank
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
   * @return grants divided by weight, moved forward after idle times
   */
  double virtualTime() {
    return virtualTime;
  }

  /**
   * Tells whether the minimum share calls for the next grant.
   *
   * @param grants grants so far
   * @return true if the workspace is served before any rank
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
  double grantsByMinimum(long grants, long requests, double minimumInterval) {
    return Math.max(0, dueAtGrant - grants) + (requests - 1) * minimumInterval + 1;
  }

  /**
   * Moves the virtual time forward after an idle time, which gives no credit.
   *
   * @param rankTime virtual time of the rank
   */
  void joinBacklog(double rankTime) {
    virtualTime = Math.max(virtualTime, rankTime);
  }

  /**
   * Charges a grant.
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
   * Gives back a place.
   *
   * @return false if none was taken
   */
  boolean release() {
    if (running == 0) {
      return false;
    }
    running--;
    return true;
  }

  /**
   * Tells whether the account can be dropped.
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
