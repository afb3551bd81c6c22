package org.ragwortpick.consensus.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** Tracks which part of the log of this replica is durable on its disk. */
final class DurabilityTracker {

  private final Deque<WrittenEntry> writtenEntries = new ArrayDeque<>();
  private long durableIndex;

  /**
   * Creates the tracker of a log that was read from the disk.
   *
   * @param durableIndex last index on disk
   */
  DurabilityTracker(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /**
   * Returns the highest index up to which all entries are durable.
   *
   * @return index
   */
  long durableIndex() {
    return durableIndex;
  }

  /**
   * Records that the entries up to an index are durable once a record is synced.
   *
   * @param sequence sequence number of the record
   * @param index index of the entry
   * @param term term of the entry
   */
  void onWritten(long sequence, long index, long term) {
    writtenEntries.add(new WrittenEntry(sequence, index, term));
  }

  /**
   * Records that the entries from an index on were replaced.
   *
   * @param fromIndex first replaced index
   */
  void onTruncated(long fromIndex) {
    durableIndex = Math.min(durableIndex, fromIndex - 1);
  }

  /**
   * Records that all records up to a sequence number are durable. Entries that were replaced in the
   * meantime do not count.
   *
   * @param sequence sequence number of the last synced record
   * @param log log of the replica
   */
  void onSynced(long sequence, RaftLog log) {
    while (!writtenEntries.isEmpty() && writtenEntries.peekFirst().sequence <= sequence) {
      WrittenEntry next = writtenEntries.removeFirst();
      if (log.termAt(next.index) == next.term) {
        durableIndex = Math.max(durableIndex, next.index);
      }
    }
  }

  private record WrittenEntry(long sequence, long index, long term) {}
}
