package org.ragwortpick.config;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Revision of the last change of each document, from which the changes since a revision are
 * computed. It holds no texts, so it grows with the number of documents and not with that of their
 * changes. Not thread-safe.
 */
public final class DocumentHistory {

  /** Limit of the removed documents that are remembered; the oldest are forgotten first. */
  static final int MAX_REMOVED = 4_096;

  private final Map<String, Long> changedAt = new HashMap<>();
  private final Map<String, Long> removedAt = new HashMap<>();
  private final TreeMap<Long, SortedSet<String>> removalsByRevision = new TreeMap<>();
  private long completeFromRevision;

  /**
   * Creates a history without changes.
   *
   * @param completeFromRevision oldest revision since which changes can be computed
   */
  public DocumentHistory(long completeFromRevision) {
    this.completeFromRevision = completeFromRevision;
  }

  /**
   * Records the changes of one revision.
   *
   * @param revision revision after the changes; not below earlier ones
   * @param changed keys of added and replaced documents
   * @param removed keys of removed documents
   */
  public void record(long revision, Iterable<String> changed, Iterable<String> removed) {
    for (String key : removed) {
      changedAt.remove(key);
      forgetRemoval(key);
      removedAt.put(key, revision);
      removalsByRevision.computeIfAbsent(revision, at -> new TreeSet<>()).add(key);
    }
    for (String key : changed) {
      forgetRemoval(key);
      changedAt.put(key, revision);
    }
    while (removedAt.size() > MAX_REMOVED) {
      Map.Entry<Long, SortedSet<String>> oldest = removalsByRevision.pollFirstEntry();
      removedAt.keySet().removeAll(oldest.getValue());
      completeFromRevision = Math.max(completeFromRevision, oldest.getKey());
    }
  }

  private void forgetRemoval(String key) {
    Long revision = removedAt.remove(key);
    if (revision != null) {
      SortedSet<String> removed = removalsByRevision.get(revision);
      removed.remove(key);
      if (removed.isEmpty()) {
        removalsByRevision.remove(revision);
      }
    }
  }

  /**
   * Computes the changes since a revision.
   *
   * @param fromRevision revision that the receiver has
   * @param revision current revision
   * @param documents documents of the current revision
   * @return the changes; empty if the history does not reach back to the revision, or the revision
   *     is unknown
   */
  public Optional<DocumentDelta> since(
      long fromRevision, long revision, SortedMap<String, String> documents) {
    if (fromRevision < completeFromRevision || fromRevision > revision) {
      return Optional.empty();
    }
    SortedMap<String, String> puts = new TreeMap<>();
    changedAt.forEach(
        (key, at) -> {
          if (at > fromRevision) {
            puts.put(key, documents.get(key));
          }
        });
    SortedSet<String> deletes = new TreeSet<>();
    removalsByRevision.tailMap(fromRevision, false).values().forEach(deletes::addAll);
    return Optional.of(new DocumentDelta(fromRevision, revision, puts, deletes));
  }

  /**
   * Returns the number of revisions of which removals are remembered.
   *
   * @return number of revisions
   */
  int revisionsWithRemovals() {
    return removalsByRevision.size();
  }

  /**
   * Returns the oldest revision since which changes can be computed.
   *
   * @return the revision
   */
  public long completeFromRevision() {
    return completeFromRevision;
  }

  /**
   * Returns the revision of the last change of each document.
   *
   * @return revisions by key
   */
  public Map<String, Long> changedAt() {
    return Collections.unmodifiableMap(changedAt);
  }

  /**
   * Returns the revision at which each remembered document was removed.
   *
   * @return revisions by key
   */
  public Map<String, Long> removedAt() {
    return Collections.unmodifiableMap(removedAt);
  }
}
