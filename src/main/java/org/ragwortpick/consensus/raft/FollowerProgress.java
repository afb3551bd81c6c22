package org.ragwortpick.consensus.raft;

import java.util.List;

/** What a leader knows about one other replica, and what it sends to it. */
final class FollowerProgress {

  /** How entries reach the replica. */
  private enum Mode {
    /** The matching index is unknown: one empty request at a time. */
    PROBE,
    /** Entries are sent ahead of their acknowledgement up to a window. */
    REPLICATE,
    /** The replica needs entries that the leader no longer holds. */
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
  private RaftSnapshot transfer;
  private long transferOffset;
  private long lastChunkMs;

  /**
   * Creates the progress of a replica of which nothing is known.
   *
   * @param identity identity of a replica
   * @param settings settings of the replica
   * @param term term
   * @param log log of the replica
   * @param outbox outputs of the replica
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
   * Returns the identity of the replica.
   *
   * @return identity
   */
  String identity() {
    return identity;
  }

  /**
   * Returns the highest index known to be on the disk of the replica.
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
   * Returns whether the replica responded lately.
   *
   * @param nowMs monotonic time
   * @return whether it did
   */
  boolean isActive(long nowMs) {
    return acknowledgedSentAtMs != Long.MIN_VALUE
        && nowMs - lastResponseMs <= settings.electionMaxMs();
  }

  /**
   * Sends a heartbeat and repeats what seems to be lost.
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
      // A replica that may be gone must not hold an old snapshot in memory.
      transfer = null;
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
   * Sends what the replica is missing, as far as the mode and the window allow.
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
    heard(response.sentAtMs(), nowMs);
    if (response.success()) {
      probeSent = false;
      acknowledge(Math.min(response.matchIndex(), log.lastIndex()));
      if (mode == Mode.SNAPSHOT && matchIndex >= transfer.index()) {
        transfer = null;
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
   * Handles the response to a part of a snapshot.
   *
   * @param response the response
   * @param nowMs monotonic time
   */
  void onSnapshotResponse(Message.SnapshotResponse response, long nowMs) {
    heard(response.sentAtMs(), nowMs);
    if (mode == Mode.SNAPSHOT
        && response.snapshotIndex() == transfer.index()
        && response.nextOffset() != transferOffset) {
      transferOffset = Math.min(response.nextOffset(), transfer.data().length);
      sendChunk(nowMs);
    }
  }

  /**
   * A repeated or late rejection must not cause another probe, or probes and rejections multiply.
   */
  private boolean isCurrent(Message.AppendResponse rejection) {
    return rejection.rejectedIndex() > matchIndex
        && (mode == Mode.REPLICATE
            || mode == Mode.PROBE && rejection.rejectedIndex() == nextIndex - 1);
  }

  private void heard(long sentAtMs, long nowMs) {
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
    transfer = log.snapshot();
    transferOffset = 0;
    sendChunk(nowMs);
  }

  private void sendChunk(long nowMs) {
    int from = (int) transferOffset;
    int length = Math.min(settings.snapshotChunkBytes(), transfer.data().length - from);
    byte[] data = new byte[length];
    System.arraycopy(transfer.data(), from, data, 0, length);
    RaftSnapshot header =
        new RaftSnapshot(transfer.index(), transfer.term(), transfer.membership(), new byte[0]);
    lastChunkMs = nowMs;
    outbox.send(
        identity,
        new Message.SnapshotChunk(term, header, transfer.data().length, from, data, nowMs));
  }

  private void sendAppend(
      long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long nowMs) {
    outbox.send(
        identity,
        new Message.AppendRequest(term, previousIndex, previousTerm, entries, commitIndex, nowMs));
  }
}
