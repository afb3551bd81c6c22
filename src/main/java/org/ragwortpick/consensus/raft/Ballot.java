package org.ragwortpick.consensus.raft;

import java.util.HashSet;
import java.util.Set;

/** Votes of one election. */
final class Ballot {

  private final Set<String> granted = new HashSet<>();

  /** Starts a new election. */
  void reset() {
    granted.clear();
  }

  /**
   * Notes a vote.
   *
   * @param identity identity of a replica
   */
  void grant(String identity) {
    granted.add(identity);
  }

  /**
   * Returns whether a quorum of voters granted.
   *
   * @param membership the membership
   * @return whether the election is won
   */
  boolean isWon(Membership membership) {
    return membership.voters().stream().filter(granted::contains).count() >= membership.quorum();
  }
}
