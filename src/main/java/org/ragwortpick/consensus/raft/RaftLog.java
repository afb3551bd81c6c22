package org.ragwortpick.consensus.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * In-memory part of the log: the last snapshot, the entries after it and some before it, bounded in
 * number and size.
 */
final class RaftLog {

  private static final long UNKNOWN_TERM = -1;

  private final List<LogEntry> entries = new ArrayList<>();
  private final TreeMap<Long, Membership> memberships = new TreeMap<>();
  private RaftSnapshot snapshot;

  /** Index before the first entry in memory. */
  private long previousIndex;

  /** Term at {@code previousIndex}. */
  private long previousTerm;

  private long bytesAfterSnapshot;

  /**
   * Creates the log from the state on disk.
   *
   * @param state state read from the disk
   */
  RaftLog(RecoveredState state) {
    reset(state.snapshot());
    state.entries().forEach(this::append);
  }

  /**
   * Returns the index of the last entry.
   *
   * @return index; 0 if there is none
   */
  long lastIndex() {
    return previousIndex + entries.size();
  }

  /**
   * Returns the term of the last entry.
   *
   * @return term
   */
  long lastTerm() {
    return termAt(lastIndex());
  }

  /**
   * Returns the last snapshot.
   *
   * @return the snapshot
   */
  RaftSnapshot snapshot() {
    return snapshot;
  }

  /**
   * Returns the total size of the entries after the last snapshot.
   *
   * @return size in bytes
   */
  long bytesAfterSnapshot() {
    return bytesAfterSnapshot;
  }

  /**
   * Returns the index before the first entry in memory.
   *
   * @return index
   */
  long previousIndex() {
    return previousIndex;
  }

  /**
   * Returns the term at an index.
   *
   * @param index index in the log
   * @return term; negative if the entry is not in memory
   */
  long termAt(long index) {
    if (index == previousIndex) {
      return previousTerm;
    }
    if (index < previousIndex || index > lastIndex()) {
      return UNKNOWN_TERM;
    }
    return entry(index).term();
  }

  /**
   * Returns an entry.
   *
   * @param index index of an entry in memory
   * @return the entry
   */
  LogEntry entry(long index) {
    return entries.get((int) (index - previousIndex - 1));
  }

  /**
   * Returns entries from an index on, up to a size limit but at least one.
   *
   * @param index index of the first entry
   * @param maxBytes limit of the total size
   * @return entries in order
   */
  List<LogEntry> entriesFrom(long index, int maxBytes) {
    List<LogEntry> result = new ArrayList<>();
    long bytes = 0;
    for (long i = index; i <= lastIndex(); i++) {
      LogEntry entry = entry(i);
      bytes += entry.sizeBytes();
      if (!result.isEmpty() && bytes > maxBytes) {
        break;
      }
      result.add(entry);
    }
    return result;
  }

  /**
   * Returns the latest membership, committed or not.
   *
   * @return the membership
   */
  Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /**
   * Returns the index of the latest membership.
   *
   * @return index
   */
  long membershipIndex() {
    return memberships.lastKey();
  }

  /**
   * Returns whether the log of a candidate is at least as up-to-date as this one.
   *
   * @param lastIndex last index of the candidate
   * @param lastTerm term of that entry
   * @return whether the candidate may receive a vote
   */
  boolean isUpToDate(long lastIndex, long lastTerm) {
    return lastTerm > lastTerm() || lastTerm == lastTerm() && lastIndex >= lastIndex();
  }

  /**
   * Returns the index before the first entry with the term of the given index.
   *
   * @param index index in the log
   * @return index
   */
  long indexBeforeTermOf(long index) {
    long term = termAt(index);
    long before = index - 1;
    while (before > previousIndex && termAt(before) == term) {
      before--;
    }
    return before;
  }

  /**
   * Appends an entry.
   *
   * @param entry the entry
   */
  void append(LogEntry entry) {
    InvariantViolationException.check(
        entry.index() == lastIndex() + 1, "log without gaps", entry.index(), lastIndex());
    InvariantViolationException.check(
        entry.term() >= lastTerm(), "terms in the log never decrease", entry.term(), lastTerm());
    entries.add(entry);
    bytesAfterSnapshot += entry.sizeBytes();
    if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
      memberships.put(entry.index(), Membership.decode(entry.data()));
    }
  }

  /**
   * Removes the entry at an index and all after it.
   *
   * @param index index in the log
   */
  void truncateFrom(long index) {
    InvariantViolationException.check(
        index > snapshot.index(), "no truncation into a snapshot", index, snapshot.index());
    List<LogEntry> tail = entries.subList((int) (index - previousIndex - 1), entries.size());
    tail.forEach(entry -> bytesAfterSnapshot -= entry.sizeBytes());
    tail.clear();
    memberships.tailMap(index, true).clear();
  }

  /**
   * Replaces the last snapshot and discards the entries before the retained ones.
   *
   * @param index index of the last entry that the snapshot includes
   * @param data encoded state
   * @param retainedEntries number of entries to keep before the snapshot
   * @param retainedBytes limit of their total size
   */
  void compact(long index, byte[] data, int retainedEntries, long retainedBytes) {
    snapshot =
        new RaftSnapshot(index, termAt(index), memberships.floorEntry(index).getValue(), data);
    memberships.headMap(memberships.floorKey(index), false).clear();
    long keepFrom = index;
    long bytes = 0;
    while (keepFrom > Math.max(previousIndex, index - retainedEntries)) {
      bytes += entry(keepFrom).sizeBytes();
      if (bytes > retainedBytes) {
        break;
      }
      keepFrom--;
    }
    if (keepFrom > previousIndex) {
      long term = termAt(keepFrom);
      entries.subList(0, (int) (keepFrom - previousIndex)).clear();
      previousIndex = keepFrom;
      previousTerm = term;
    }
    bytesAfterSnapshot = 0;
    entriesAfterSnapshot().forEach(entry -> bytesAfterSnapshot += entry.sizeBytes());
  }

  /**
   * Installs a snapshot of the leader. Entries after it are kept if the log matches the snapshot.
   *
   * @param received the snapshot
   */
  void install(RaftSnapshot received) {
    if (termAt(received.index()) == received.term()) {
      List<LogEntry> tail =
          new ArrayList<>(
              entries.subList((int) (received.index() - previousIndex), entries.size()));
      reset(received);
      tail.forEach(this::append);
    } else {
      reset(received);
    }
  }

  /**
   * Returns the entries after the last snapshot.
   *
   * @return entries in order
   */
  List<LogEntry> entriesAfterSnapshot() {
    return List.copyOf(entries.subList((int) (snapshot.index() - previousIndex), entries.size()));
  }

  private void reset(RaftSnapshot base) {
    snapshot = base;
    previousIndex = base.index();
    previousTerm = base.term();
    entries.clear();
    bytesAfterSnapshot = 0;
    memberships.clear();
    memberships.put(base.index(), base.membership());
  }
}
