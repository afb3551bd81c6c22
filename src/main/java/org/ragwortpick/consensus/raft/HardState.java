package org.ragwortpick.consensus.raft;

/**
 * State that must be on disk before a vote is sent.
 *
 * @param term current term
 * @param votedFor identity that got the vote of this term; empty if none did
 */
public record HardState(long term, String votedFor) {}
