package org.ragwortpick.consensus.raft;

import static org.ragwortpick.consensus.raft.InvariantViolationException.check;

import java.util.Optional;

/** Handles the requests of a leader: entries, heartbeats and snapshot chunks. */
final class FollowerRole {

  private final ReplicaState state;
  private Optional<SnapshotAssembly> assembly = Optional.empty();

  /** Term to which {@code verifiedIndex} and {@code leaderSentAtMs} belong. */
  private long leaderTerm;

  /** Highest index known to match the log of the leader. */
  private long verifiedIndex;

  /** Send time of the latest request of the leader, by the clock of the leader. */
  private long leaderSentAtMs;

  /**
   * Creates the handler.
   *
   * @param state shared state of the replica
   */
  FollowerRole(ReplicaState state) {
    this.state = state;
  }

  /**
   * Handles entries or a heartbeat.
   *
   * @param from identity of the sender
   * @param request the request
   */
  void onAppendRequest(String from, Message.AppendRequest request) {
    if (!acceptLeader(from, request.term(), request.sentAtMs())) {
      return;
    }
    RaftLog log = state.log();
    long previous = request.previousIndex();
    if (previous > log.lastIndex()) {
      reject(from, previous, log.lastIndex());
      return;
    }
    // Entries before the first entry in memory are committed, so they match.
    if (previous >= log.previousIndex() && log.termAt(previous) != request.previousTerm()) {
      long commitIndex = state.commitIndex();
      check(previous > commitIndex, "log matching of committed entries", previous, commitIndex);
      reject(from, previous, Math.max(commitIndex, log.indexBeforeTermOf(previous)));
      return;
    }
    long indexBeforeMemory = log.previousIndex();
    request.entries().stream()
        .filter(entry -> entry.index() > indexBeforeMemory)
        .forEach(this::append);
    long matched = previous + request.entries().size();
    verifiedIndex = Math.max(verifiedIndex, matched);
    state.advanceCommitIndex(Math.min(request.commitIndex(), verifiedIndex));
    // New entries are acknowledged once they are durable.
    if (request.entries().isEmpty() || state.durability().durableIndex() >= matched) {
      acknowledge(from);
    }
  }

  /**
   * Handles a snapshot chunk.
   *
   * @param from identity of the sender
   * @param chunk the chunk
   */
  void onSnapshotChunk(String from, Message.SnapshotChunk chunk) {
    if (!acceptLeader(from, chunk.term(), chunk.sentAtMs())) {
      return;
    }
    long index = chunk.snapshot().index();
    if (index <= state.commitIndex()) {
      verifiedIndex = Math.max(verifiedIndex, index);
      acknowledge(from);
      return;
    }
    if (assembly.filter(current -> current.isFor(chunk)).isEmpty()) {
      assembly = Optional.of(new SnapshotAssembly(chunk.snapshot(), chunk.totalBytes()));
    }
    SnapshotAssembly current = assembly.orElseThrow();
    long nextOffset = current.add(chunk);
    if (current.isComplete()) {
      assembly = Optional.empty();
      state.install(current.toSnapshot());
      verifiedIndex = Math.max(verifiedIndex, index);
    } else {
      state.sendAfterSync(
          from, new Message.SnapshotResponse(state.term(), index, nextOffset, chunk.sentAtMs()));
    }
  }

  /** Acknowledges newly durable entries to the leader. */
  void onDurable() {
    if (leaderTerm == state.term()) {
      state.leaderId().ifPresent(this::acknowledge);
    }
  }

  private void append(LogEntry entry) {
    RaftLog log = state.log();
    if (entry.index() <= log.lastIndex()) {
      if (log.termAt(entry.index()) == entry.term()) {
        return;
      }
      check(
          entry.index() > state.commitIndex(),
          "committed entries are never replaced",
          entry.index(),
          state.commitIndex());
      log.truncateFrom(entry.index());
      state.durability().onTruncated(entry.index());
    }
    state.append(entry);
  }

  /**
   * Follows the sender of a request unless its term is outdated; in that case sends a rejection.
   * Returns whether the request is to be handled.
   */
  private boolean acceptLeader(String from, long term, long sentAtMs) {
    if (term < state.term()) {
      state.sendAfterSync(from, new Message.AppendResponse(state.term(), false, 0, 0, sentAtMs));
      return false;
    }
    Optional<String> knownLeader = term == state.term() ? state.leaderId() : Optional.of(from);
    check(
        knownLeader.isEmpty() || knownLeader.get().equals(from),
        "election safety",
        from,
        knownLeader);
    if (term > state.term() || state.role() != Role.FOLLOWER) {
      state.stepDown(term, Optional.of(from));
    }
    if (leaderTerm != term) {
      leaderTerm = term;
      verifiedIndex = 0;
      leaderSentAtMs = 0;
      assembly = Optional.empty();
    }
    state.setLeaderId(Optional.of(from));
    state.recordLeaderContact();
    leaderSentAtMs = Math.max(leaderSentAtMs, sentAtMs);
    return true;
  }

  private void reject(String leader, long rejectedIndex, long nextIndex) {
    state.sendAfterSync(
        leader,
        new Message.AppendResponse(state.term(), false, nextIndex, rejectedIndex, leaderSentAtMs));
  }

  private void acknowledge(String leader) {
    long match = Math.min(verifiedIndex, state.durability().durableIndex());
    state.sendAfterSync(
        leader, new Message.AppendResponse(state.term(), true, match, 0, leaderSentAtMs));
  }
}
