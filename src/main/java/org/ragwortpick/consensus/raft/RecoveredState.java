package org.ragwortpick.consensus.raft;

import java.util.List;

/**
 * State that a replica reads from its disk at startup.
 *
 * @param hardState term and vote
 * @param snapshot last snapshot
 * @param entries entries after the snapshot
 */
public record RecoveredState(HardState hardState, RaftSnapshot snapshot, List<LogEntry> entries) {

  /**
   * Returns the state of a newly formatted group.
   *
   * @param membership first membership; empty for a replica that has yet to join
   * @return the state
   */
  public static RecoveredState initial(Membership membership) {
    return new RecoveredState(new HardState(0, ""), RaftSnapshot.initial(membership), List.of());
  }
}
