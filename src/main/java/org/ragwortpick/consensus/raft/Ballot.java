package org.ragwortpick.consensus.raft;

import java.util.HashSet;
import java.util.Set;

/** Votes granted in one election. */
final class Ballot {

  private final Set<String> granted = new HashSet<>();

  /** Discards all votes before a new election. */
  void reset() {
    granted.clear();
  }

  /**
   * Records a granted vote.
   *
   * @param identity identity of the voter
   */
  void grant(String identity) {
    granted.add(identity);
  }

  /**
   * Returns whether a quorum of the voters granted their votes.
   *
   * @param membership the membership
   * @return whether the election is won
   */
  boolean isWon(Membership membership) {
    return membership.voters().stream().filter(granted::contains).count() >= membership.quorum();
  }
}
