package org.ragwortpick.policy.admission;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Workspaces with waiting requests, in the order in which they are served. The order depends on
 * mutable state of the workspace, so that a workspace must be removed before its state changes and
 * added again afterwards. Not thread-safe: guarded by the lock of the admission controller.
 */
final class Backlog {

  /**
   * Bounds the cost of an estimate with thousands of priorities. A truncated estimate is too low,
   * so that it refuses no additional request.
   */
  private static final int MAX_LEVELS_READ = 32;

  private final TreeMap<Integer, PriorityLevel> levels = new TreeMap<>();
  private final TreeSet<WorkspaceShare> byMinimumDue = new TreeSet<>(WorkspaceShare.BY_MINIMUM_DUE);

  /** Waiting workspaces of one priority. */
  private static final class PriorityLevel {
    private final TreeSet<WorkspaceShare> shares = new TreeSet<>(WorkspaceShare.BY_VIRTUAL_TIME);
    private double virtualTime;
    private long weight;
    private long waiting;
  }

  /**
   * Adds a workspace if it has waiting requests.
   *
   * @param share the workspace
   */
  void add(WorkspaceShare share) {
    if (share.waiting().isEmpty()) {
      return;
    }
    PriorityLevel level = levels.computeIfAbsent(share.priority(), key -> new PriorityLevel());
    share.raiseVirtualTime(level.virtualTime);
    level.shares.add(share);
    level.weight += share.weight();
    level.waiting += share.waiting().size();
    byMinimumDue.add(share);
  }

  /**
   * Removes a workspace if it is present.
   *
   * @param share the workspace
   */
  void remove(WorkspaceShare share) {
    PriorityLevel level = levels.get(share.priority());
    if (level != null && level.shares.remove(share)) {
      level.weight -= share.weight();
      level.waiting -= share.waiting().size();
      byMinimumDue.remove(share);
    }
  }

  /**
   * Returns the workspace to serve next: one whose minimum share is due, or the first of the most
   * urgent priority.
   *
   * @param grants grants so far
   * @param hasMinimum whether the rules set a minimum share
   * @return the workspace, or null if the backlog is empty
   */
  WorkspaceShare next(long grants, boolean hasMinimum) {
    if (byMinimumDue.isEmpty()) {
      return null;
    }
    if (hasMinimum && byMinimumDue.first().isDue(grants)) {
      return byMinimumDue.first();
    }
    for (PriorityLevel level : levels.values()) {
      if (!level.shares.isEmpty()) {
        return level.shares.first();
      }
    }
    return null;
  }

  /**
   * Advances the virtual time of a priority to that of the workspace that is served now. It is not
   * advanced for a grant by minimum share while others wait: that workspace may be ahead of the
   * others, which would lose the grants that they are owed.
   *
   * @param share the workspace
   * @param byMinimum whether it is served because its minimum share is due
   */
  void advance(WorkspaceShare share, boolean byMinimum) {
    PriorityLevel level = levels.computeIfAbsent(share.priority(), key -> new PriorityLevel());
    if (!byMinimum || level.shares.isEmpty()) {
      level.virtualTime = Math.max(level.virtualTime, share.virtualTime());
    }
  }

  /**
   * Estimates the grants that precede the next request of a workspace by priority and weight.
   *
   * @param share the workspace, in or out of the backlog
   * @param ahead requests of the workspace that are granted before it
   * @return number of grants
   */
  double grantsAhead(WorkspaceShare share, long ahead) {
    long grantsOfHigherLevels = 0;
    int levelsRead = 0;
    for (PriorityLevel level : levels.headMap(share.priority()).values()) {
      grantsOfHigherLevels += level.waiting;
      levelsRead++;
      if (levelsRead == MAX_LEVELS_READ) {
        break;
      }
    }
    PriorityLevel level = levels.get(share.priority());
    long otherWeight =
        level == null ? 0 : level.weight - (level.shares.contains(share) ? share.weight() : 0);
    double maxOfLevel = level == null ? ahead : Math.max(ahead, level.waiting);
    double byWeight = ahead * (double) (otherWeight + share.weight()) / share.weight();
    return grantsOfHigherLevels + Math.min(byWeight, maxOfLevel);
  }

  /**
   * Tells whether no workspace waits.
   *
   * @return true if the backlog is empty
   */
  boolean isEmpty() {
    return byMinimumDue.isEmpty();
  }

  /** Removes all workspaces and priorities. */
  void clear() {
    levels.clear();
    byMinimumDue.clear();
  }
}
