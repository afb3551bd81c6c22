package org.ragwortpick.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Guards against changes that are missing in, or wrongly added to, what a VM receives. */
public final class DocumentHistoryTest {

  private static final int REVISIONS = 200;

  /** Compares with the differences between full copies of all revisions. */
  @Test
  public void changesSinceAnyRevisionLeadToTheCurrentDocuments() {
    for (int seed = 0; seed < 20; seed++) {
      Random random = new Random(seed);
      DocumentHistory history = new DocumentHistory(0);
      List<SortedMap<String, String>> revisions = new ArrayList<>();
      revisions.add(new TreeMap<>());
      for (int revision = 1; revision <= REVISIONS; revision++) {
        SortedMap<String, String> next = new TreeMap<>(revisions.get(revision - 1));
        Set<String> removed = new TreeSet<>();
        if (random.nextInt(3) == 0 && !next.isEmpty()) {
          removed.add(next.firstKey());
          next.remove(next.firstKey());
        }
        String key = "k" + random.nextInt(10);
        next.put(key, "v" + revision);
        history.record(revision, Set.of(key), removed);
        revisions.add(next);
      }
      SortedMap<String, String> current = revisions.get(REVISIONS);
      for (int from = 0; from <= REVISIONS; from++) {
        SortedMap<String, String> documents = new TreeMap<>(revisions.get(from));
        history.since(from, REVISIONS, current).orElseThrow().applyTo(documents);
        assertEquals(documents, current, "seed " + seed + ", from " + from);
      }
      assertTrue(history.since(REVISIONS + 1, REVISIONS, current).isEmpty());
    }
  }

  /** Removed documents that were remembered for ever would fill the heap. */
  @Test
  public void oldRemovalsAreForgottenAndNotGuessed() {
    DocumentHistory history = new DocumentHistory(0);
    int count = DocumentHistory.MAX_REMOVED + 10;
    for (int revision = 1; revision <= count; revision++) {
      history.record(revision, List.of(), List.of("k" + revision));
    }
    assertEquals(history.removedAt().size(), DocumentHistory.MAX_REMOVED);
    assertTrue(history.since(9, count, new TreeMap<>()).isEmpty());
    assertEquals(
        history.since(10, count, new TreeMap<>()).orElseThrow().deletes().size(),
        DocumentHistory.MAX_REMOVED);
  }

  /** A document that is removed and added by turns must leave nothing behind. */
  @Test
  public void returnedDocumentIsNoLongerRemembered() {
    DocumentHistory history = new DocumentHistory(0);
    for (int revision = 1; revision <= REVISIONS; revision++) {
      boolean removed = revision % 2 == 1;
      List<String> key = List.of("k");
      history.record(revision, removed ? List.of() : key, removed ? key : List.of());
    }
    assertEquals(history.revisionsWithRemovals(), 0);
  }
}
