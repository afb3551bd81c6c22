package org.ragwortpick.consensus.raft;

/**
 * Snapshot of the state machine and the membership at an index.
 *
 * @param index index of the last entry that the snapshot includes; 0 for the empty state
 * @param term term of that entry
 * @param membership membership after that entry
 * @param data encoded state of the state machine; empty at index 0
 */
public record RaftSnapshot(long index, long term, Membership membership, byte[] data) {

  /**
   * Returns the snapshot before the first entry.
   *
   * @param membership first membership
   * @return the snapshot
   */
  public static RaftSnapshot initial(Membership membership) {
    return new RaftSnapshot(0, 0, membership, new byte[0]);
  }
}
