package org.ragwortpick.consensus.raft;

import static org.ragwortpick.consensus.raft.InvariantViolationException.check;

import java.util.Optional;

/** Handles the requests of the leader: entries, heartbeats and snapshots. */
final class Following {

  private final ReplicaState state;
  private Optional<SnapshotAssembly> assembly = Optional.empty();

  /** Term to which the next two values belong. */
  private long leaderTerm;

  /** Highest index known to match the log of the leader. */
  private long verifiedIndex;

  private long leaderSentAtMs;

  /**
   * Creates the part of the replica that follows a leader.
   *
   * @param state shared state of the replica
   */
  Following(ReplicaState state) {
    this.state = state;
  }

  /**
   * Handles entries or a heartbeat.
   *
   * @param from identity of the sender
   * @param request the request
   */
  void onAppendRequest(String from, Message.AppendRequest request) {
    if (!followLeader(from, request.term(), request.sentAtMs())) {
      return;
    }
    RaftLog log = state.log();
    long previous = request.previousIndex();
    if (previous > log.lastIndex()) {
      reject(from, previous, log.lastIndex());
      return;
    }
    // Entries before those held are committed, so they match.
    if (previous >= log.previousIndex() && log.termAt(previous) != request.previousTerm()) {
      long commitIndex = state.commitIndex();
      check(previous > commitIndex, "log matching of committed entries", previous, commitIndex);
      reject(from, previous, Math.max(commitIndex, log.indexBeforeTermOf(previous)));
      return;
    }
    long heldFrom = log.previousIndex();
    request.entries().stream().filter(entry -> entry.index() > heldFrom).forEach(this::append);
    long matched = previous + request.entries().size();
    verifiedIndex = Math.max(verifiedIndex, matched);
    state.commit(Math.min(request.commitIndex(), verifiedIndex));
    // New entries are acknowledged when they are on disk.
    if (request.entries().isEmpty() || state.durability().durableIndex() >= matched) {
      acknowledge(from);
    }
  }

  /**
   * Handles a part of a snapshot.
   *
   * @param from identity of the sender
   * @param chunk part of a snapshot
   */
  void onSnapshotChunk(String from, Message.SnapshotChunk chunk) {
    if (!followLeader(from, chunk.term(), chunk.sentAtMs())) {
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

  /** Tells the leader how far the disk has got. */
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
      state.durability().truncated(entry.index());
    }
    state.append(entry);
  }

  /** Returns whether the request is of the current leader. Refuses those of earlier terms. */
  private boolean followLeader(String from, long term, long sentAtMs) {
    if (term < state.term()) {
      state.sendAfterSync(from, new Message.AppendResponse(state.term(), false, 0, 0, sentAtMs));
      return false;
    }
    Optional<String> known = term == state.term() ? state.leaderId() : Optional.of(from);
    check(known.isEmpty() || known.get().equals(from), "election safety", from, known);
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
    state.heardLeader();
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
