package org.ragwortpick.consensus.raft;

/**
 * State that must be durable before a vote is sent.
 *
 * @param term current term
 * @param votedFor identity that received the vote of this replica in the term; empty if none
 */
public record HardState(long term, String votedFor) {}
