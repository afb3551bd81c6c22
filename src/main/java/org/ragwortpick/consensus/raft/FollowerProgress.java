package org.ragwortpick.consensus.raft;

import java.util.List;

/** Replication progress of one follower or learner, as tracked by the leader. */
final class FollowerProgress {

  /** Way in which the leader sends entries to the replica. */
  private enum Mode {
    /** The matching index is unknown: one empty request is sent at a time. */
    PROBE,
    /** Entries are pipelined: up to a window they are sent before earlier ones are acknowledged. */
    REPLICATE,
    /** A snapshot is sent, because the leader has compacted entries that the replica needs. */
    SNAPSHOT
  }

  private final String identity;
  private final RaftSettings settings;
  private final long term;
  private final RaftLog log;
  private final Outbox outbox;

  private Mode mode = Mode.PROBE;
  private long matchIndex;
  private long nextIndex;
  private long inFlightBytes;
  private boolean probeSent;
  private long acknowledgedSentAtMs = Long.MIN_VALUE;
  private long lastResponseMs;
  private RaftSnapshot transferredSnapshot;
  private long transferOffset;
  private long lastChunkMs;

  /**
   * Creates the progress of a replica that has not responded yet.
   *
   * @param identity identity of the replica
   * @param settings settings of the leader
   * @param term term of the leader
   * @param log log of the leader
   * @param outbox outputs of the leader
   * @param nowMs monotonic time
   */
  FollowerProgress(
      String identity, RaftSettings settings, long term, RaftLog log, Outbox outbox, long nowMs) {
    this.identity = identity;
    this.settings = settings;
    this.term = term;
    this.log = log;
    this.outbox = outbox;
    this.nextIndex = log.lastIndex() + 1;
    this.lastResponseMs = nowMs;
  }

  /**
   * Returns the identity of the tracked replica.
   *
   * @return identity
   */
  String identity() {
    return identity;
  }

  /**
   * Returns the highest index known to be durable on the replica.
   *
   * @return index
   */
  long matchIndex() {
    return matchIndex;
  }

  /**
   * Returns the time at which the latest acknowledged request was sent.
   *
   * @return monotonic time; {@link Long#MIN_VALUE} if there is none
   */
  long acknowledgedSentAtMs() {
    return acknowledgedSentAtMs;
  }

  /**
   * Returns the time of the last response.
   *
   * @return monotonic time
   */
  long lastResponseMs() {
    return lastResponseMs;
  }

  /**
   * Returns whether the replica responded within the maximum election timeout.
   *
   * @param nowMs monotonic time
   * @return whether the replica is active
   */
  boolean isActive(long nowMs) {
    return acknowledgedSentAtMs != Long.MIN_VALUE
        && nowMs - lastResponseMs <= settings.electionMaxMs();
  }

  /**
   * Sends a heartbeat. Falls back to probing if the replica is silent, and repeats a snapshot chunk
   * that seems to be lost.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void heartbeat(long commitIndex, long nowMs) {
    boolean silent = nowMs - lastResponseMs > settings.electionMinMs();
    if (silent && mode == Mode.REPLICATE) {
      probeFrom(matchIndex + 1);
    }
    if (mode == Mode.SNAPSHOT && nowMs - lastResponseMs > settings.electionMaxMs()) {
      // An unreachable replica must not keep an old snapshot in the memory of the leader.
      transferredSnapshot = null;
      probeFrom(matchIndex + 1);
    }
    if (mode == Mode.SNAPSHOT) {
      if (!silent && nowMs - lastChunkMs > settings.electionMinMs()) {
        sendChunk(nowMs);
      }
      sendAppend(0, 0, List.of(), commitIndex, nowMs);
    } else if (nextIndex - 1 < log.previousIndex()) {
      sendAppend(0, 0, List.of(), commitIndex, nowMs);
    } else {
      probeSent = true;
      sendAppend(nextIndex - 1, log.termAt(nextIndex - 1), List.of(), commitIndex, nowMs);
    }
  }

  /**
   * Sends the missing entries, as far as the mode and the window allow.
   *
   * @param commitIndex commit index of the leader
   * @param nowMs monotonic time
   */
  void replicate(long commitIndex, long nowMs) {
    if (mode != Mode.SNAPSHOT && nextIndex - 1 < log.previousIndex()) {
      if (nowMs - lastResponseMs <= settings.electionMinMs()) {
        startTransfer(nowMs);
      }
      return;
    }
    if (mode == Mode.PROBE && !probeSent) {
      probeSent = true;
      sendAppend(nextIndex - 1, log.termAt(nextIndex - 1), List.of(), commitIndex, nowMs);
    }
    while (mode == Mode.REPLICATE
        && nextIndex <= log.lastIndex()
        && inFlightBytes < settings.windowBytes()) {
      List<LogEntry> entries = log.entriesFrom(nextIndex, settings.maxAppendBytes());
      sendAppend(nextIndex - 1, log.termAt(nextIndex - 1), entries, commitIndex, nowMs);
      nextIndex += entries.size();
      entries.forEach(entry -> inFlightBytes += entry.sizeBytes());
    }
  }

  /**
   * Handles the response to entries or a heartbeat.
   *
   * @param response the response
   * @param nowMs monotonic time
   */
  void onAppendResponse(Message.AppendResponse response, long nowMs) {
    recordResponse(response.sentAtMs(), nowMs);
    if (response.success()) {
      probeSent = false;
      acknowledge(Math.min(response.matchIndex(), log.lastIndex()));
      if (mode == Mode.SNAPSHOT && matchIndex >= transferredSnapshot.index()) {
        transferredSnapshot = null;
        mode = Mode.REPLICATE;
        nextIndex = matchIndex + 1;
      } else if (mode == Mode.PROBE && nextIndex - 1 >= log.previousIndex()) {
        mode = Mode.REPLICATE;
      }
    } else if (isCurrent(response)) {
      probeFrom(Math.max(matchIndex + 1, Math.min(nextIndex - 1, response.matchIndex() + 1)));
    }
  }

  /**
   * Handles the response to a snapshot chunk.
   *
   * @param response the response
   * @param nowMs monotonic time
   */
  void onSnapshotResponse(Message.SnapshotResponse response, long nowMs) {
    recordResponse(response.sentAtMs(), nowMs);
    if (mode == Mode.SNAPSHOT
        && response.snapshotIndex() == transferredSnapshot.index()
        && response.nextOffset() != transferOffset) {
      transferOffset = Math.min(response.nextOffset(), transferredSnapshot.data().length);
      sendChunk(nowMs);
    }
  }

  /**
   * Returns whether a rejection is not outdated. A duplicate or stale rejection must not cause
   * another probe, otherwise probes and rejections multiply.
   */
  private boolean isCurrent(Message.AppendResponse rejection) {
    return rejection.rejectedIndex() > matchIndex
        && (mode == Mode.REPLICATE
            || mode == Mode.PROBE && rejection.rejectedIndex() == nextIndex - 1);
  }

  private void recordResponse(long sentAtMs, long nowMs) {
    acknowledgedSentAtMs = Math.max(acknowledgedSentAtMs, sentAtMs);
    lastResponseMs = nowMs;
  }

  private void acknowledge(long index) {
    for (long i = Math.max(matchIndex, log.previousIndex()) + 1; i <= index; i++) {
      inFlightBytes -= log.entry(i).sizeBytes();
    }
    matchIndex = Math.max(matchIndex, index);
    nextIndex = Math.max(nextIndex, matchIndex + 1);
    if (nextIndex == matchIndex + 1 || inFlightBytes < 0) {
      inFlightBytes = 0;
    }
  }

  private void probeFrom(long index) {
    mode = Mode.PROBE;
    nextIndex = index;
    inFlightBytes = 0;
    probeSent = false;
  }

  private void startTransfer(long nowMs) {
    mode = Mode.SNAPSHOT;
    transferredSnapshot = log.snapshot();
    transferOffset = 0;
    sendChunk(nowMs);
  }

  private void sendChunk(long nowMs) {
    int from = (int) transferOffset;
    int length = Math.min(settings.snapshotChunkBytes(), transferredSnapshot.data().length - from);
    byte[] data = new byte[length];
    System.arraycopy(transferredSnapshot.data(), from, data, 0, length);
    RaftSnapshot header =
        new RaftSnapshot(
            transferredSnapshot.index(),
            transferredSnapshot.term(),
            transferredSnapshot.membership(),
            new byte[0]);
    lastChunkMs = nowMs;
    outbox.send(
        identity,
        new Message.SnapshotChunk(
            term, header, transferredSnapshot.data().length, from, data, nowMs));
  }

  private void sendAppend(
      long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long nowMs) {
    outbox.send(
        identity,
        new Message.AppendRequest(term, previousIndex, previousTerm, entries, commitIndex, nowMs));
  }
}
