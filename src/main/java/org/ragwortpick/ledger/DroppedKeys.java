package org.ragwortpick.ledger;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Digests of the keys whose records were dropped, in one set per day. A day is forgotten as a whole
 * once its last moment is past the retention time, so a digest is kept for 30 to 31 days.
 */
final class DroppedKeys {

  /** Time for which a digest is kept at least. */
  static final long RETENTION_MS = 30L * 24 * 60 * 60 * 1000;

  private static final long DAY_MS = 24L * 60 * 60 * 1000;

  private final SortedMap<Long, DigestSet> days = new TreeMap<>();

  /**
   * Adds a key.
   *
   * @param digest digest of the key
   * @param nowMs time in milliseconds since 1970
   */
  void add(KeyDigest digest, long nowMs) {
    days.computeIfAbsent(nowMs / DAY_MS, day -> new DigestSet()).add(digest);
  }

  /**
   * Tells whether a key was dropped within the retention time.
   *
   * @param key the key
   * @return true if its digest is kept
   */
  boolean contains(ExecutionKey key) {
    if (days.isEmpty()) {
      return false;
    }
    KeyDigest digest = KeyDigest.of(key);
    return days.values().stream().anyMatch(day -> day.contains(digest));
  }

  /**
   * Tells whether a day is past the retention time.
   *
   * @param nowMs time in milliseconds since 1970
   * @return true if {@link #forgetOldest} is due
   */
  boolean isDue(long nowMs) {
    return !days.isEmpty() && (days.firstKey() + 1) * DAY_MS + RETENTION_MS <= nowMs;
  }

  /** Forgets the oldest day. */
  void forgetOldest() {
    days.remove(days.firstKey());
  }

  /**
   * Returns the number of digests.
   *
   * @return the number
   */
  int size() {
    return days.values().stream().mapToInt(DigestSet::size).sum();
  }

  /**
   * Lists the days.
   *
   * @return sets of digests by number of days since 1970
   */
  SortedMap<Long, DigestSet> days() {
    return Collections.unmodifiableSortedMap(days);
  }

  /**
   * Restores one day.
   *
   * @param day number of days since 1970
   * @param digests digests as encoded by {@link DigestSet#encode}
   */
  void restore(long day, ByteBuffer digests) {
    DigestSet set = new DigestSet();
    while (digests.hasRemaining()) {
      set.add(new KeyDigest(digests.getLong(), digests.getLong()));
    }
    days.put(day, set);
  }
}
