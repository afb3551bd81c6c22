package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * State of a replica at one moment.
 *
 * @param identity identity of the replica
 * @param role role
 * @param ready whether it leads and has applied an entry of its own term
 * @param term current term
 * @param leaderId identity of the leader of the term, if known
 * @param confirmedAtMs leader only: monotonic time at which a quorum last confirmed it
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last applied entry
 * @param lastIndex index of the last entry
 * @param logBytes size of the entries after the last snapshot
 * @param snapshotBytes size of the last snapshot
 * @param membership voters
 * @param learners leader only: replicas that receive the log without a vote
 * @param failure why the replica stopped, if it did
 */
public record RaftStatus(
    String identity,
    Role role,
    boolean ready,
    long term,
    Optional<String> leaderId,
    OptionalLong confirmedAtMs,
    long commitIndex,
    long appliedIndex,
    long lastIndex,
    long logBytes,
    long snapshotBytes,
    Membership membership,
    List<String> learners,
    Optional<String> failure) {}
