package org.ragwortpick.ledger;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Digests of the keys whose records were dropped, in one set per day. The set of a day is removed
 * as a whole once the end of the day is past the retention time, so a digest is kept for 30 to 31
 * days.
 */
final class DroppedKeys {

  /** Minimum time for which a digest is kept. */
  static final long RETENTION_MS = 30L * 24 * 60 * 60 * 1000;

  private static final long DAY_MS = 24L * 60 * 60 * 1000;

  private final SortedMap<Long, DigestSet> digestsByDay = new TreeMap<>();

  /**
   * Adds a key.
   *
   * @param digest digest of the key
   * @param nowMs time in milliseconds since 1970
   */
  void add(KeyDigest digest, long nowMs) {
    digestsByDay.computeIfAbsent(nowMs / DAY_MS, day -> new DigestSet()).add(digest);
  }

  /**
   * Returns whether the record of a key was dropped within the retention time.
   *
   * @param key the key
   * @return true if the digest of the key is present
   */
  boolean contains(ExecutionKey key) {
    if (digestsByDay.isEmpty()) {
      return false;
    }
    KeyDigest digest = KeyDigest.of(key);
    return digestsByDay.values().stream().anyMatch(day -> day.contains(digest));
  }

  /**
   * Returns whether the oldest day is past the retention time.
   *
   * @param nowMs time in milliseconds since 1970
   * @return true if {@link #removeOldestDay} is due
   */
  boolean isOldestDayExpired(long nowMs) {
    return !digestsByDay.isEmpty()
        && (digestsByDay.firstKey() + 1) * DAY_MS + RETENTION_MS <= nowMs;
  }

  /** Removes the digests of the oldest day. */
  void removeOldestDay() {
    digestsByDay.remove(digestsByDay.firstKey());
  }

  /**
   * Returns the number of digests of all days.
   *
   * @return number of digests
   */
  int size() {
    return digestsByDay.values().stream().mapToInt(DigestSet::size).sum();
  }

  /**
   * Returns the digests of each day.
   *
   * @return sets of digests by number of days since 1970
   */
  SortedMap<Long, DigestSet> digestsByDay() {
    return Collections.unmodifiableSortedMap(digestsByDay);
  }

  /**
   * Restores the digests of one day.
   *
   * @param day number of days since 1970
   * @param digests digests as encoded by {@link DigestSet#encode}
   */
  void restore(long day, ByteBuffer digests) {
    DigestSet set = new DigestSet();
    while (digests.hasRemaining()) {
      set.add(new KeyDigest(digests.getLong(), digests.getLong()));
    }
    digestsByDay.put(day, set);
  }
}
