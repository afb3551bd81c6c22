package org.ragwortpick.consensus.raft;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Handles proposals, responses of followers and membership changes while the replica leads. */
final class Leading {

  private final ReplicaState state;
  private final MembershipSteps membershipSteps;
  private Optional<LeaderState> current = Optional.empty();
  private Optional<MembershipSteps.Replacement> replacement = Optional.empty();
  private long uncommittedBytes;

  /**
   * Creates the part of the replica that is used while it leads.
   *
   * @param state shared state of the replica
   */
  Leading(ReplicaState state) {
    this.state = state;
    this.membershipSteps = new MembershipSteps(state.settings(), state.log());
  }

  /** Starts a leadership. */
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
    current = Optional.of(leader);
    leader.followMembership(nowMs);
    append(LogEntry.Kind.NO_OP, new byte[0]);
    leader.tick(state.commitIndex(), nowMs);
  }

  /** Forgets the leadership after the replica stepped down. */
  void clear() {
    current = Optional.empty();
    replacement = Optional.empty();
  }

  /**
   * A leader serves once an entry of its own term is applied: only then its state is complete.
   *
   * @return whether proposals and reads may be served
   */
  boolean isReady() {
    return state.role() == Role.LEADER && state.appliedIndex() >= leader().firstIndex();
  }

  /**
   * Returns the learners.
   *
   * @return identities; empty if the replica does not lead
   */
  List<String> learners() {
    return current.map(leader -> List.copyOf(leader.learners())).orElse(List.of());
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

  /** Handles the passage of time. */
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
   * @return index of the first one; empty if they are refused
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
   * Handles the request of a replica to receive the log.
   *
   * @param identity identity of a replica
   */
  void onJoinRequest(String identity) {
    if (isReady() && membershipSteps.accepts(identity, replacement)) {
      leader().join(identity, state.nowMs());
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

  /** Commits what is on the disks of a quorum. */
  void advanceCommit() {
    RaftLog log = state.log();
    long index = leader().quorumIndex(state.durability().durableIndex());
    // Entries of earlier terms are only committed through one of the own term.
    if (index <= state.commitIndex() || log.termAt(index) != state.term()) {
      return;
    }
    for (long i = state.commitIndex() + 1; i <= index; i++) {
      uncommittedBytes -= log.entry(i).sizeBytes();
    }
    state.commit(index);
    if (!state.isVoter() && log.membershipIndex() <= index) {
      // The removal of this replica is committed; the others learn it before it steps down.
      leader().announceCommit(index, state.nowMs());
      state.stepDown(state.term(), Optional.empty());
    }
  }

  /**
   * Starts to move a voter to another VM.
   *
   * @param oldVm VM to retire
   * @param newVm VM that takes its place
   * @return reason of a refusal
   */
  Optional<String> replace(String oldVm, String newVm) {
    if (!isReady()) {
      return Optional.of("this VM is not the leader; send the request to the leader");
    }
    if (oldVm.equals(newVm) || !state.settings().mayVote().test(newVm)) {
      return Optional.of("VM " + newVm + " is not another control VM; add it to the settings");
    }
    if (replacement.filter(other -> !other.isDone(state.log().membership())).isPresent()) {
      return Optional.of("another replacement is in progress; retry when it is done");
    }
    replacement = Optional.of(new MembershipSteps.Replacement(oldVm, newVm));
    return Optional.empty();
  }

  /** Gives up the replacement in progress. */
  void cancelReplacement() {
    replacement = Optional.empty();
  }

  private void changeMembership(long nowMs) {
    RaftLog log = state.log();
    if (!isReady() || log.membershipIndex() > state.commitIndex()) {
      return;
    }
    replacement = replacement.filter(request -> !request.isDone(log.membership()));
    Optional<Membership> next = membershipSteps.next(leader(), replacement, nowMs);
    if (next.isPresent()) {
      append(LogEntry.Kind.MEMBERSHIP, next.get().encode());
      leader().followMembership(nowMs);
      leader().replicate(state.commitIndex(), nowMs);
    }
  }

  private void append(LogEntry.Kind kind, byte[] data) {
    LogEntry entry = new LogEntry(state.log().lastIndex() + 1, state.term(), kind, data);
    uncommittedBytes += entry.sizeBytes();
    state.append(entry);
  }

  private LeaderState leader() {
    return current.orElseThrow();
  }
}
