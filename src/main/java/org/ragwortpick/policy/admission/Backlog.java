package org.ragwortpick.policy.admission;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Workspaces with waiting requests, in the order in which they are served. A workspace is taken out
 * before its account changes and put back afterwards. Guarded by the admission controller.
 */
final class Backlog {

  /** Estimates stay cheap with thousands of ranks; they get too low, so that nothing is refused. */
  private static final int MAX_RANKS_READ = 32;

  private final TreeMap<Integer, Rank> ranks = new TreeMap<>();
  private final TreeSet<WorkspaceShare> byDue = new TreeSet<>(WorkspaceShare.BY_DUE);

  /** Workspaces of one rank. */
  private static final class Rank {
    private final TreeSet<WorkspaceShare> shares = new TreeSet<>(WorkspaceShare.BY_VIRTUAL_TIME);
    private double virtualTime;
    private long weight;
    private long waiting;
  }

  /**
   * Puts a workspace in if it has waiting requests.
   *
   * @param share the workspace
   */
  void add(WorkspaceShare share) {
    if (share.waiting().isEmpty()) {
      return;
    }
    Rank rank = ranks.computeIfAbsent(share.rank(), key -> new Rank());
    share.joinBacklog(rank.virtualTime);
    rank.shares.add(share);
    rank.weight += share.weight();
    rank.waiting += share.waiting().size();
    byDue.add(share);
  }

  /**
   * Takes a workspace out.
   *
   * @param share the workspace
   */
  void remove(WorkspaceShare share) {
    Rank rank = ranks.get(share.rank());
    if (rank != null && rank.shares.remove(share)) {
      rank.weight -= share.weight();
      rank.waiting -= share.waiting().size();
      byDue.remove(share);
    }
  }

  /**
   * Returns the workspace to serve next: one whose minimum is due, or the first of the highest
   * rank.
   *
   * @param grants grants so far
   * @param hasMinimum whether the rules state a minimum share
   * @return the workspace, or null if none waits
   */
  WorkspaceShare next(long grants, boolean hasMinimum) {
    if (byDue.isEmpty()) {
      return null;
    }
    if (hasMinimum && byDue.first().isDue(grants)) {
      return byDue.first();
    }
    for (Rank rank : ranks.values()) {
      if (!rank.shares.isEmpty()) {
        return rank.shares.first();
      }
    }
    return null;
  }

  /**
   * Moves the virtual time of a rank to that of a workspace that is served now. A workspace that is
   * served by its minimum may be ahead of others, which would lose their credit.
   *
   * @param share the workspace
   * @param byMinimum whether it is served because its minimum is due
   */
  void advance(WorkspaceShare share, boolean byMinimum) {
    Rank rank = ranks.computeIfAbsent(share.rank(), key -> new Rank());
    if (!byMinimum || rank.shares.isEmpty()) {
      rank.virtualTime = Math.max(rank.virtualTime, share.virtualTime());
    }
  }

  /**
   * Estimates the grants that others get first by rank and weight.
   *
   * @param share the workspace, in or out of the backlog
   * @param ahead requests of the workspace that go first
   * @return number of grants
   */
  double grantsAhead(WorkspaceShare share, long ahead) {
    long higher = 0;
    int seen = 0;
    for (Rank rank : ranks.headMap(share.rank()).values()) {
      higher += rank.waiting;
      seen++;
      if (seen == MAX_RANKS_READ) {
        break;
      }
    }
    Rank rank = ranks.get(share.rank());
    long others =
        rank == null ? 0 : rank.weight - (rank.shares.contains(share) ? share.weight() : 0);
    double mostOfRank = rank == null ? ahead : Math.max(ahead, rank.waiting);
    double fair = ahead * (double) (others + share.weight()) / share.weight();
    return higher + Math.min(fair, mostOfRank);
  }

  /**
   * Tells whether no workspace waits.
   *
   * @return true if the backlog is empty
   */
  boolean isEmpty() {
    return byDue.isEmpty();
  }

  /** Forgets the workspaces and ranks. */
  void clear() {
    ranks.clear();
    byDue.clear();
  }
}
