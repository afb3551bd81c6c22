package org.ragwortpick.origin;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records in memory, bounded by their number: what expires first is dropped first. A request with
 * records of two versions stays contradictory until the record expires.
 */
final class OriginTable {

  /** Keeps records of absurd lifetimes from displacing all others for good. */
  static final long MAX_LIFETIME_MS = 3_600_000;

  private static final int MAX_SHARED_VERSIONS = 1_000;
  private static final long BUCKET_MS = 1_000;

  private final int maxRecords;
  private final Clock clock;
  private final Map<OriginKey, Entry> entries = new HashMap<>();

  /**
   * Entries by the second of their expiry. A refreshed entry stays in its bucket and moves when
   * that one is due, so that each entry is in one bucket.
   */
  private final TreeMap<Long, ArrayDeque<Entry>> buckets = new TreeMap<>();

  /** One instance of each version, because records of many requests have the same one. */
  private final Map<String, String> sharedVersions = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param maxRecords largest number of records
   * @param clock monotonic clock
   */
  OriginTable(int maxRecords, Clock clock) {
    this.maxRecords = maxRecords;
    this.clock = clock;
  }

  /**
   * Adds a record, or refreshes it. Invalid records are ignored.
   *
   * @param added the record
   */
  synchronized void add(OriginRecord added) {
    if (!added.isValid()) {
      return;
    }
    dropExpired();
    long expiresAtMs = clock.millis() + Math.min(added.lifetimeMs(), MAX_LIFETIME_MS);
    Entry present = entries.get(added.key());
    if (present == null) {
      Entry entry = new Entry(added.key(), shared(added.version()), expiresAtMs);
      entries.put(added.key(), entry);
      putInBucket(entry);
      dropBeyondLimit();
      return;
    }
    present.expiresAtMs = Math.max(present.expiresAtMs, expiresAtMs);
    if (!present.version.equals(added.version())) {
      present.otherVersion = shared(added.version());
    }
  }

  /**
   * Looks up a request.
   *
   * @param key key of the request
   * @return what is known
   */
  synchronized OriginAnswer find(OriginKey key) {
    Entry entry = entries.get(key);
    if (entry == null || entry.expiresAtMs <= clock.millis()) {
      return new OriginAnswer.Unknown();
    }
    return entry.otherVersion == null
        ? new OriginAnswer.Known(entry.version)
        : new OriginAnswer.Contradictory();
  }

  /**
   * Lists the records that have not expired; two for a contradictory request.
   *
   * @return the records with their remaining lifetimes
   */
  synchronized List<OriginRecord> all() {
    dropExpired();
    long nowMs = clock.millis();
    List<OriginRecord> records = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      long lifetimeMs = entry.expiresAtMs - nowMs;
      records.add(new OriginRecord(entry.key, entry.version, lifetimeMs));
      if (entry.otherVersion != null) {
        records.add(new OriginRecord(entry.key, entry.otherVersion, lifetimeMs));
      }
    }
    return records;
  }

  /**
   * Returns the number of requests with a record.
   *
   * @return the number, expired ones included that were not dropped yet
   */
  synchronized int size() {
    return entries.size();
  }

  private String shared(String version) {
    if (sharedVersions.size() >= MAX_SHARED_VERSIONS) {
      sharedVersions.clear();
    }
    return sharedVersions.computeIfAbsent(version, same -> same);
  }

  private void putInBucket(Entry entry) {
    buckets.computeIfAbsent(bucketOf(entry), second -> new ArrayDeque<>()).add(entry);
  }

  private static long bucketOf(Entry entry) {
    return entry.expiresAtMs / BUCKET_MS;
  }

  private void dropExpired() {
    long nowMs = clock.millis();
    while (!buckets.isEmpty() && (buckets.firstKey() + 1) * BUCKET_MS <= nowMs) {
      dropFirst();
    }
  }

  private void dropBeyondLimit() {
    while (entries.size() > maxRecords) {
      dropFirst();
    }
  }

  /** Drops an entry of the first bucket, or moves it if it was refreshed. */
  private void dropFirst() {
    Map.Entry<Long, ArrayDeque<Entry>> bucket = buckets.firstEntry();
    Entry entry = bucket.getValue().remove();
    if (bucket.getValue().isEmpty()) {
      buckets.remove(bucket.getKey());
    }
    if (bucketOf(entry) > bucket.getKey()) {
      putInBucket(entry);
    } else {
      entries.remove(entry.key);
    }
  }

  /** Entry of a request. */
  private static final class Entry {

    private final OriginKey key;
    private final String version;
    private String otherVersion;
    private long expiresAtMs;

    Entry(OriginKey key, String version, long expiresAtMs) {
      this.key = key;
      this.version = version;
      this.expiresAtMs = expiresAtMs;
    }
  }
}
