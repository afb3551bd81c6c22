package org.ragwortpick.policy.select;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortpick.policy.CacheEvent;
import org.testng.annotations.Test;

/**
 * Guards against entries for prefixes that engines no longer hold after lost, repeated or outdated
 * events, and against unbounded growth of the index.
 */
public final class BoundedPrefixIndexTest {

  private static final long SEED = 12;
  private static final int ENGINE_COUNT = 5;
  private static final int PREFIX_COUNT = 40;

  /** Engine with its complete event log, from which the expected entries are computed. */
  private static final class Engine {
    private final List<CacheEvent> log = new ArrayList<>();
    private long incarnation = 1;
    private long appliedSequence;

    private Set<Long> replay(long untilSequence) {
      Set<Long> held = new HashSet<>();
      for (CacheEvent event : log) {
        if (event.incarnation() == incarnation && event.sequence() <= untilSequence) {
          switch (event.kind()) {
            case STORED -> held.add(event.prefixHash());
            case EVICTED -> held.remove(event.prefixHash());
            default -> held.clear();
          }
        }
      }
      return held;
    }

    private long lastSequence() {
      return log.stream().filter(event -> event.incarnation() == incarnation).count();
    }
  }

  @Test
  public void equalsNaiveIndexWhileThereIsNoGap() {
    SplittableRandom random = new SplittableRandom(SEED);
    BoundedPrefixIndex index = new BoundedPrefixIndex(PREFIX_COUNT, ENGINE_COUNT * PREFIX_COUNT);
    Map<String, Engine> engines = new HashMap<>();
    for (int step = 0; step < 30_000; step++) {
      String id = "e" + random.nextInt(ENGINE_COUNT);
      Engine engine = engines.computeIfAbsent(id, key -> new Engine());
      if (random.nextInt(400) == 0) {
        engine.log.clear();
        engine.incarnation++;
        engine.appliedSequence = 0;
      }
      CacheEvent event = nextEvent(random, id, engine);
      engine.log.add(event);
      boolean wasComplete = !index.needsSnapshot(id);
      if (random.nextInt(50) > 0) {
        boolean complete = index.apply(event);
        assertEquals(complete, !index.needsSnapshot(id));
        assertEquals(
            complete,
            wasComplete && event.sequence() == engine.appliedSequence + 1 || event.sequence() == 1,
            "seed " + SEED + " step " + step);
        engine.appliedSequence = complete ? event.sequence() : engine.appliedSequence;
        index.apply(
            engine.log.get(random.nextInt(engine.log.size())).sequence() <= engine.appliedSequence
                ? engine.log.get(0)
                : event);
      }
      if (index.needsSnapshot(id) && random.nextInt(10) == 0) {
        engine.appliedSequence = engine.lastSequence();
        index.applySnapshot(
            id, engine.incarnation, engine.appliedSequence, engine.replay(engine.appliedSequence));
      }
      if (step % 20 == 0) {
        compare(index, engines, step);
      }
    }
  }

  private static CacheEvent nextEvent(SplittableRandom random, String id, Engine engine) {
    int choice = random.nextInt(30);
    CacheEvent.Kind kind =
        choice == 0
            ? CacheEvent.Kind.CLEARED
            : choice < 12 ? CacheEvent.Kind.EVICTED : CacheEvent.Kind.STORED;
    long prefix = 1 + random.nextInt(PREFIX_COUNT);
    return new CacheEvent(id, engine.incarnation, engine.lastSequence() + 1, kind, prefix);
  }

  private static void compare(BoundedPrefixIndex index, Map<String, Engine> engines, int step) {
    int total = 0;
    Map<String, Set<Long>> naive = new HashMap<>();
    for (Map.Entry<String, Engine> entry : engines.entrySet()) {
      Engine engine = entry.getValue();
      boolean isComparable = engine.appliedSequence > 0 && !index.needsSnapshot(entry.getKey());
      naive.put(entry.getKey(), isComparable ? engine.replay(engine.appliedSequence) : null);
    }
    for (long prefix = 1; prefix <= PREFIX_COUNT; prefix++) {
      List<String> holders = index.holders(prefix);
      total += holders.size();
      assertEquals(new HashSet<>(holders).size(), holders.size());
      for (Map.Entry<String, Set<Long>> entry : naive.entrySet()) {
        if (entry.getValue() != null) {
          assertEquals(
              holders.contains(entry.getKey()),
              entry.getValue().contains(prefix),
              "seed " + SEED + " step " + step + " " + entry.getKey() + " prefix " + prefix);
        }
      }
    }
    assertEquals(index.size(), total);
  }

  @Test
  public void gapClearsEntriesOfEngineUntilSnapshot() {
    BoundedPrefixIndex index = new BoundedPrefixIndex(4, 8);
    index.apply(new CacheEvent("a", 1, 1, CacheEvent.Kind.STORED, 7));
    index.apply(new CacheEvent("a", 1, 3, CacheEvent.Kind.STORED, 8));
    assertTrue(index.needsSnapshot("a"));
    index.apply(new CacheEvent("a", 1, 4, CacheEvent.Kind.STORED, 9));
    assertEquals(index.size(), 0);
    index.applySnapshot("a", 1, 4, Set.of(8L, 9L));
    assertEquals(index.holders(8), List.of("a"));
    assertEquals(index.holders(7), List.of());
  }

  @Test
  public void staysWithinItsBounds() {
    BoundedPrefixIndex index = new BoundedPrefixIndex(4, 6);
    for (long prefix = 1; prefix <= 100; prefix++) {
      index.recordResponse("e" + prefix % 7, prefix);
      assertTrue(index.size() <= 6);
    }
    index.remove("e1");
    index.recordResponse("e1", 1_000);
    assertTrue(index.size() <= 6);
  }
}
