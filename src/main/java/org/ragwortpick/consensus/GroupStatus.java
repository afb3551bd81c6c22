package org.ragwortpick.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Status of the local replica of one group, for health, metrics and the administration API.
 *
 * @param group name of the group
 * @param identity identity of the local replica, {@code <vm>/<incarnation of its disk>}
 * @param role role of the local replica: FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER or FAILED
 * @param ready whether the local replica is the leader and may serve
 * @param term current term
 * @param leaderVm name of the VM of the leader of the term, if known
 * @param confirmedAtMs leader only: monotonic time at which a quorum last confirmed it
 * @param commitIndex index of the last committed entry
 * @param appliedIndex index of the last entry applied to the state machine
 * @param lastIndex index of the last entry in the log
 * @param logBytes size in bytes of the entries after the last snapshot
 * @param snapshotBytes size in bytes of the last snapshot
 * @param voters identities of the voters
 * @param learners leader only: identities of the learners
 * @param failure cause while the disk refuses writes, or of the stop of the replica, such as a
 *     violated invariant
 */
public record GroupStatus(
    String group,
    String identity,
    String role,
    boolean ready,
    long term,
    Optional<String> leaderVm,
    OptionalLong confirmedAtMs,
    long commitIndex,
    long appliedIndex,
    long lastIndex,
    long logBytes,
    long snapshotBytes,
    List<String> voters,
    List<String> learners,
    Optional<String> failure) {}
