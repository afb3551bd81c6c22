package org.ragwortpick.consensus.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** Knows which part of the log of this replica is on its disk. */
final class Durability {

  private final Deque<Written> written = new ArrayDeque<>();
  private long durableIndex;

  /**
   * Creates the knowledge about a log that was just read.
   *
   * @param durableIndex last index on disk
   */
  Durability(long durableIndex) {
    this.durableIndex = durableIndex;
  }

  /**
   * Returns the last index of which all entries up to it are on disk.
   *
   * @return index
   */
  long durableIndex() {
    return durableIndex;
  }

  /**
   * Notes that the record with a sequence number brings the log up to an entry.
   *
   * @param sequence sequence number of the record
   * @param index index in the log
   * @param term term
   */
  void written(long sequence, long index, long term) {
    written.add(new Written(sequence, index, term));
  }

  /**
   * Notes that entries from an index on were replaced.
   *
   * @param fromIndex first replaced index
   */
  void truncated(long fromIndex) {
    durableIndex = Math.min(durableIndex, fromIndex - 1);
  }

  /**
   * Takes the records up to a sequence number as synced. Entries replaced since do not count.
   *
   * @param sequence sequence number of the record
   * @param log log of the replica
   */
  void synced(long sequence, RaftLog log) {
    while (!written.isEmpty() && written.peekFirst().sequence <= sequence) {
      Written next = written.removeFirst();
      if (log.termAt(next.index) == next.term) {
        durableIndex = Math.max(durableIndex, next.index);
      }
    }
  }

  private record Written(long sequence, long index, long term) {}
}
