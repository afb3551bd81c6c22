package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Handles proposals, responses and membership changes while the replica is the leader. */
final class LeaderRole {

  private final ReplicaState state;
  private final MembershipPlanner membershipPlanner;
  private Optional<LeaderState> leaderState = Optional.empty();
  private Optional<MembershipPlanner.Replacement> replacement = Optional.empty();
  private long uncommittedBytes;

  /**
   * Creates the handler.
   *
   * @param state shared state of the replica
   */
  LeaderRole(ReplicaState state) {
    this.state = state;
    this.membershipPlanner = new MembershipPlanner(state.settings(), state.log());
  }

  /** Becomes the leader of the current term and appends its first entry. */
  void onElected() {
    RaftLog log = state.log();
    InvariantViolationException.check(
        log.lastIndex() >= state.commitIndex(),
        "leader completeness",
        log.lastIndex(),
        state.commitIndex());
    long nowMs = state.nowMs();
    state.setLeaderId(Optional.of(state.identity()));
    uncommittedBytes = 0;
    for (long index = state.commitIndex() + 1; index <= log.lastIndex(); index++) {
      uncommittedBytes += log.entry(index).sizeBytes();
    }
    LeaderState leader =
        new LeaderState(state.settings(), state.term(), log, state.outbox(), nowMs);
    leaderState = Optional.of(leader);
    leader.updateFollowers(nowMs);
    append(LogEntry.Kind.NO_OP, new byte[0]);
    leader.tick(state.commitIndex(), nowMs);
  }

  /** Discards the state of the leadership after the replica stepped down. */
  void discardLeaderState() {
    leaderState = Optional.empty();
    replacement = Optional.empty();
  }

  /**
   * Returns whether this leader may serve proposals and reads. Its state is complete only once an
   * entry of its own term is applied.
   *
   * @return whether this replica is the leader and has applied an entry of its term
   */
  boolean isReady() {
    return state.role() == Role.LEADER && state.appliedIndex() >= leader().firstIndex();
  }

  /**
   * Returns the learners.
   *
   * @return identities; empty if the replica is not the leader
   */
  List<String> learners() {
    return leaderState.map(leader -> List.copyOf(leader.learners())).orElse(List.of());
  }

  /**
   * Returns when a quorum last confirmed the leadership.
   *
   * @return monotonic time; empty if the replica may not serve
   */
  OptionalLong confirmedAtMs() {
    if (!isReady()) {
      return OptionalLong.empty();
    }
    long confirmedAtMs = leader().confirmedAtMs(state.nowMs());
    return confirmedAtMs == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(confirmedAtMs);
  }

  /** Steps down without a quorum; otherwise sends heartbeats and makes due membership changes. */
  void tick() {
    long nowMs = state.nowMs();
    if (leader().hasLostQuorum(nowMs)) {
      state.stepDown(state.term(), Optional.empty());
      return;
    }
    leader().tick(state.commitIndex(), nowMs);
    changeMembership(nowMs);
  }

  /**
   * Appends commands.
   *
   * @param commands commands in order
   * @return index of the first command; empty if the replica is not ready or too many bytes are
   *     uncommitted
   */
  OptionalLong propose(List<byte[]> commands) {
    if (!isReady() || uncommittedBytes > state.settings().maxPendingBytes()) {
      return OptionalLong.empty();
    }
    long first = state.log().lastIndex() + 1;
    commands.forEach(command -> append(LogEntry.Kind.COMMAND, command));
    leader().replicate(state.commitIndex(), state.nowMs());
    return OptionalLong.of(first);
  }

  /**
   * Handles a join request.
   *
   * @param identity identity of the sender
   */
  void onJoinRequest(String identity) {
    if (isReady() && membershipPlanner.acceptsLearner(identity, replacement)) {
      leader().addLearner(identity, state.nowMs());
    }
  }

  /**
   * Handles a response of a follower or learner.
   *
   * @param from identity of the sender
   * @param response the response
   */
  void onResponse(String from, Message response) {
    if (state.role() != Role.LEADER || response.term() < state.term()) {
      return;
    }
    long nowMs = state.nowMs();
    Optional<FollowerProgress> follower = leader().follower(from);
    if (follower.isEmpty()) {
      return;
    }
    if (response instanceof Message.AppendResponse append) {
      follower.get().onAppendResponse(append, nowMs);
      advanceCommit();
    } else if (response instanceof Message.SnapshotResponse chunk) {
      follower.get().onSnapshotResponse(chunk, nowMs);
    }
    if (state.role() == Role.LEADER) {
      follower.get().replicate(state.commitIndex(), nowMs);
    }
  }

  /** Commits the entries that are durable on a quorum. */
  void advanceCommit() {
    RaftLog log = state.log();
    long index = leader().quorumIndex(state.durability().durableIndex());
    // Entries of earlier terms are committed only together with an entry of the current term.
    if (index <= state.commitIndex() || log.termAt(index) != state.term()) {
      return;
    }
    for (long i = state.commitIndex() + 1; i <= index; i++) {
      uncommittedBytes -= log.entry(i).sizeBytes();
    }
    state.advanceCommitIndex(index);
    if (!state.isVoter() && log.membershipIndex() <= index) {
      // The removal of this replica is committed; announce the commit before stepping down.
      leader().announceCommit(index, state.nowMs());
      state.stepDown(state.term(), Optional.empty());
    }
  }

  /**
   * Starts the replacement of a voter by another VM.
   *
   * @param oldVm VM to retire
   * @param newVm VM of the new voter
   * @return reason for a refusal; empty if the replacement was started
   */
  Optional<String> startReplacement(String oldVm, String newVm) {
    if (!isReady()) {
      return Optional.of("this VM is not the leader; send the request to the leader");
    }
    if (oldVm.equals(newVm) || !state.settings().mayVote().test(newVm)) {
      return Optional.of(
          "VM "
              + newVm
              + " cannot replace VM "
              + oldVm
              + ": it is the same VM or not a control VM; add it to the settings or name another");
    }
    if (replacement.filter(pending -> !pending.isDone(state.log().membership())).isPresent()) {
      return Optional.of("another replacement is in progress; retry when it is done");
    }
    replacement = Optional.of(new MembershipPlanner.Replacement(oldVm, newVm));
    return Optional.empty();
  }

  /** Cancels the replacement in progress. */
  void cancelReplacement() {
    replacement = Optional.empty();
  }

  private void changeMembership(long nowMs) {
    RaftLog log = state.log();
    if (!isReady() || log.membershipIndex() > state.commitIndex()) {
      return;
    }
    replacement = replacement.filter(request -> !request.isDone(log.membership()));
    Optional<Membership> next = membershipPlanner.next(leader(), replacement, nowMs);
    if (next.isPresent()) {
      append(LogEntry.Kind.MEMBERSHIP, next.get().encode());
      leader().updateFollowers(nowMs);
      leader().replicate(state.commitIndex(), nowMs);
    }
  }

  private void append(LogEntry.Kind kind, byte[] data) {
    LogEntry entry = new LogEntry(state.log().lastIndex() + 1, state.term(), kind, data);
    uncommittedBytes += entry.sizeBytes();
    state.append(entry);
  }

  private LeaderState leader() {
    return leaderState.orElseThrow();
  }
}
