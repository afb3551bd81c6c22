package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Status of a replica at one point in time.
 *
 * @param identity identity of the replica
 * @param role role
 * @param ready whether the replica is the leader and has applied an entry of its own term
 * @param term current term
 * @param leaderId identity of the leader of the term, if known
 * @param confirmedAtMs leader only: monotonic time at which a quorum last confirmed it
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last applied entry
 * @param lastIndex index of the last entry
 * @param logBytes size in bytes of the entries after the last snapshot
 * @param snapshotBytes size in bytes of the last snapshot
 * @param membership latest membership, committed or not
 * @param learners leader only: replicas that receive the log without a vote
 * @param failure cause if the replica failed
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
    Optional<String> failure) {

  /**
   * Returns whether role, term, leader, voters or learners differ.
   *
   * @param other another status of the same replica
   * @return false if only the log has advanced
   */
  public boolean differsInMembersFrom(RaftStatus other) {
    return role != other.role
        || ready != other.ready
        || term != other.term
        || !leaderId.equals(other.leaderId)
        || !membership.equals(other.membership)
        || !learners.equals(other.learners);
  }
}
