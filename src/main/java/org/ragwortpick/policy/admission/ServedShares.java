package org.ragwortpick.policy.admission;

import java.time.Clock;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Recent work of the workspaces and priorities at one stage service. Gives fair shares to the
 * workspaces of a priority, and a minimum to each workspace and each priority. Confined to one
 * thread.
 */
public final class ServedShares {

  /**
   * Part of all work that is divided among the workspaces, and among the priorities, as their
   * minimum. It bounds what more urgent work can lose to it.
   */
  private static final double MINIMUM_PART = 0.1;

  private final DecayingCounts<WorkOwner> byOwner;
  private final DecayingCounts<String> byWorkspace;
  private final DecayingCounts<Integer> byPriority;

  /**
   * Creates shares without work.
   *
   * @param clock monotonic clock
   */
  public ServedShares(Clock clock) {
    this.byOwner = new DecayingCounts<>(clock);
    this.byWorkspace = new DecayingCounts<>(clock);
    this.byPriority = new DecayingCounts<>(clock);
  }

  /**
   * Records work.
   *
   * @param owner workspace and priority of the work
   * @param pieces number of pieces; negative for work that is taken back
   */
  public void add(WorkOwner owner, int pieces) {
    byOwner.add(owner, pieces);
    byWorkspace.add(owner.workspace(), pieces);
    byPriority.add(owner.priority(), pieces);
  }

  /**
   * Returns the recent work of an owner.
   *
   * @param owner workspace and priority
   * @return decayed number of pieces
   */
  public double of(WorkOwner owner) {
    return byOwner.get(owner);
  }

  /**
   * Returns the recent rate of work that is more urgent than a priority.
   *
   * @param priority priority, 0 is the most urgent
   * @return pieces per millisecond
   */
  public double moreUrgentPerMs(int priority) {
    return byPriority.keys().stream()
        .filter(other -> other < priority)
        .mapToDouble(byPriority::perMs)
        .sum();
  }

  /**
   * Returns the recent rate of the work of each priority.
   *
   * @return pieces per millisecond by priority
   */
  public Map<Integer, Double> perMsByPriority() {
    return byPriority.keys().stream()
        .collect(Collectors.toMap(priority -> priority, byPriority::perMs));
  }

  /**
   * Returns the part of the work of one priority that goes before new work of one workspace when
   * the workspaces take turns.
   *
   * @param owner workspace and priority of the new work
   * @return 1 for the workspace with the most work, less for others
   */
  public double fairPartAhead(WorkOwner owner) {
    double own = byOwner.get(owner);
    double all = 0;
    double ahead = 0;
    for (WorkOwner other : byOwner.keys()) {
      if (other.priority() == owner.priority()) {
        double amount = byOwner.get(other);
        all += amount;
        ahead += Math.min(amount, own);
      }
    }
    return all == 0 ? 1 : ahead / all;
  }

  /**
   * Returns whether a workspace has received less than its minimum.
   *
   * @param workspace name of the workspace
   * @return whether its work goes first
   */
  public boolean isBelowMinimum(String workspace) {
    return isBelowMinimum(byWorkspace, workspace);
  }

  /**
   * Returns whether a priority has received less than its minimum.
   *
   * @param priority the priority
   * @return whether its work goes first
   */
  public boolean isBelowMinimum(int priority) {
    return isBelowMinimum(byPriority, priority);
  }

  private static <K> boolean isBelowMinimum(DecayingCounts<K> counts, K key) {
    int others = counts.keys().size() + (counts.keys().contains(key) ? 0 : 1);
    return counts.get(key) < MINIMUM_PART * counts.total() / others;
  }
}
