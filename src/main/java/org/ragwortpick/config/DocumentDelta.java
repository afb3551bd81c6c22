package org.ragwortpick.config;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Documents that were added, replaced or removed between two revisions.
 *
 * @param fromRevision revision to which the delta applies
 * @param toRevision revision after the delta
 * @param puts added or replaced documents, by key
 * @param deletes keys of removed documents
 */
public record DocumentDelta(
    long fromRevision, long toRevision, SortedMap<String, String> puts, SortedSet<String> deletes) {

  /** Copies the collections. */
  public DocumentDelta {
    puts = Collections.unmodifiableSortedMap(new TreeMap<>(puts));
    deletes = Collections.unmodifiableSortedSet(new TreeSet<>(deletes));
  }

  /**
   * Computes the delta that turns one set of documents into another.
   *
   * @param revision revision of the old documents
   * @param before old documents
   * @param after new documents
   * @return the delta to the next revision
   */
  public static DocumentDelta between(
      long revision, SortedMap<String, String> before, SortedMap<String, String> after) {
    SortedMap<String, String> puts = new TreeMap<>(after);
    puts.entrySet().removeIf(put -> put.getValue().equals(before.get(put.getKey())));
    SortedSet<String> deletes = new TreeSet<>(before.keySet());
    deletes.removeAll(after.keySet());
    return new DocumentDelta(revision, revision + 1, puts, deletes);
  }

  /**
   * Returns whether the delta changes nothing.
   *
   * @return true if there are neither puts nor deletes
   */
  public boolean isEmpty() {
    return puts.isEmpty() && deletes.isEmpty();
  }

  /**
   * Applies the delta to documents in place.
   *
   * @param documents documents at the revision from which the delta starts
   */
  public void applyTo(SortedMap<String, String> documents) {
    deletes.forEach(documents::remove);
    documents.putAll(puts);
  }
}
