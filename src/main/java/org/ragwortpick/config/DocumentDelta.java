package org.ragwortpick.config;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Documents that changed between two revisions.
 *
 * @param fromRevision revision to which the delta applies
 * @param toRevision revision after the delta
 * @param puts new texts by document key
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
   * Computes the change that turns one set of documents into another.
   *
   * @param revision revision of the old documents
   * @param before old documents
   * @param after new documents
   * @return the change to the next revision
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
   * Tells whether nothing changes.
   *
   * @return true if there are neither puts nor deletes
   */
  public boolean isEmpty() {
    return puts.isEmpty() && deletes.isEmpty();
  }

  /**
   * Applies the change to documents.
   *
   * @param documents documents at the revision from which the delta starts
   */
  public void applyTo(SortedMap<String, String> documents) {
    deletes.forEach(documents::remove);
    documents.putAll(puts);
  }

  /**
   * Joins changes that follow each other.
   *
   * @param changes the changes, oldest first, at least one
   * @return the joined change
   * @throws IllegalArgumentException if a change does not start where the one before it ends
   */
  public static DocumentDelta join(List<DocumentDelta> changes) {
    long fromRevision = changes.get(0).fromRevision();
    long revision = fromRevision;
    SortedMap<String, String> puts = new TreeMap<>();
    SortedSet<String> deletes = new TreeSet<>();
    for (DocumentDelta change : changes) {
      if (change.fromRevision() != revision) {
        throw new IllegalArgumentException(
            "a change from revision " + change.fromRevision() + " cannot follow " + revision);
      }
      revision = change.toRevision();
      change.deletes().forEach(puts::remove);
      deletes.addAll(change.deletes());
      deletes.removeAll(change.puts().keySet());
      puts.putAll(change.puts());
    }
    return new DocumentDelta(fromRevision, revision, puts, deletes);
  }
}
