package org.ragwortpick.policy.select;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.TestUpstreams;
import org.ragwortpick.policy.UpstreamSelector;
import org.testng.annotations.Test;

/**
 * Guards against the selection of excluded or unavailable upstreams, requests that fail although
 * one upstream is suitable, and engines that are overloaded because they hold a popular prefix.
 */
public final class SelectorsTest {

  private static final long SEED = 11;
  private static final long PREFIX = 42;

  private final BoundedPrefixIndex index = new BoundedPrefixIndex(10, 100);
  private final UpstreamSelector loadSelector =
      new LeastLoadedSelector("near", new SplittableRandom(SEED));
  private final UpstreamSelector selector = new PrefixAffinitySelector(loadSelector, index, 0.25);

  private static Candidate candidate(String id, String dataCentre, int load) {
    return new Candidate(TestUpstreams.ready(id, dataCentre, load), 0, 0);
  }

  private static SelectionRequest request(Set<String> excluded) {
    return new SelectionRequest("engines", PREFIX, excluded);
  }

  @Test
  public void selectsSuitableCandidateWheneverOneExists() {
    SplittableRandom random = new SplittableRandom(SEED);
    for (int round = 0; round < 20_000; round++) {
      List<Candidate> candidates = new ArrayList<>();
      Set<String> excluded = new HashSet<>();
      Set<String> suitable = new HashSet<>();
      int size = random.nextInt(30);
      for (int i = 0; i < size; i++) {
        String id = "u" + i;
        boolean isAvailable = random.nextInt(3) > 0;
        String dataCentre = random.nextBoolean() ? "near" : "far";
        int load = random.nextInt(12);
        candidates.add(
            new Candidate(TestUpstreams.ready(id, dataCentre, load), 0, 0, isAvailable, load));
        if (random.nextInt(3) > 0) {
          excluded.add(id);
        } else if (isAvailable) {
          suitable.add(id);
        }
        if (random.nextInt(4) == 0) {
          index.recordResponse(id, PREFIX);
        }
      }
      Optional<Candidate> selected = selector.select(request(excluded), candidates);
      assertEquals(selected.isPresent(), !suitable.isEmpty(), "seed " + SEED + " round " + round);
      selected.ifPresent(found -> assertTrue(suitable.contains(found.upstream().id())));
    }
  }

  @Test
  public void prefersLocalDataCentreOnlyWhileNotMoreLoaded() {
    List<Candidate> equal = List.of(candidate("a", "far", 3), candidate("b", "near", 3));
    List<Candidate> busy = List.of(candidate("a", "far", 3), candidate("b", "near", 4));
    for (int i = 0; i < 100; i++) {
      assertEquals(loadSelector.select(request(Set.of()), equal).get().upstream().id(), "b");
      assertEquals(loadSelector.select(request(Set.of()), busy).get().upstream().id(), "a");
    }
  }

  @Test
  public void prefersHolderOfPrefixOnlyWithinMargin() {
    index.recordResponse("holder", PREFIX);
    List<Candidate> within = List.of(candidate("holder", "far", 2), candidate("b", "far", 0));
    List<Candidate> beyond = List.of(candidate("holder", "far", 3), candidate("b", "far", 0));
    for (int i = 0; i < 100; i++) {
      assertEquals(selector.select(request(Set.of()), within).get().upstream().id(), "holder");
      assertEquals(selector.select(request(Set.of()), beyond).get().upstream().id(), "b");
    }
    assertFalse(selector.select(request(Set.of("holder", "b")), within).isPresent());
  }
}
