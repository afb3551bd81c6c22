package org.ragwortpick.consensus.raft;

/** Role of a replica. The transitions are in the state chart {@code replica.json}. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Requests pre-votes, without a new term. */
  PRE_CANDIDATE,
  /** Requests votes in a new term. */
  CANDIDATE,
  /** Leader of the term. */
  LEADER,
  /** Stopped until a restart, because the disk failed or a safety property did not hold. */
  FAILED
}
