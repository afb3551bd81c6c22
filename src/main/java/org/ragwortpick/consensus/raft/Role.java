package org.ragwortpick.consensus.raft;

/** Role of a replica. The transitions are in the state chart {@code replica.json}. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Asks whether it would be elected; its term is unchanged. */
  PRE_CANDIDATE,
  /** Asks for votes. */
  CANDIDATE,
  /** Leads the term. */
  LEADER,
  /** Its disk failed or a safety property did not hold: it takes no part until it is restarted. */
  FAILED
}
