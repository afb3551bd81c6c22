package org.ragwortpick.policy.select;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.TestUpstreams;
import org.testng.annotations.Test;

/** Guards against the loss of prefix affinity, and against herds at one upstream. */
public final class EvenLoadSelectorTest {

  private static final double MARGIN = 0.15;
  private static final int CHOICES = 9_000;

  private final EvenLoadSelector selector =
      new EvenLoadSelector(MARGIN, new SplittableRandom(20_261_206));

  private static Candidate candidate(String id, String dataCentre, double load, double speed) {
    return new Candidate(TestUpstreams.ready(id, dataCentre, 0), 0, 0, true, load, speed, load);
  }

  private Map<String, Integer> choices(SelectionRequest request, List<Candidate> candidates) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < CHOICES; i++) {
      String id = selector.select(request, candidates).orElseThrow().upstream().id();
      counts.merge(id, 1, Integer::sum);
    }
    return counts;
  }

  @Test
  public void freshReportsSelectLeastLoaded() {
    List<Candidate> candidates = List.of(candidate("a", "x", 4, 1), candidate("b", "x", 1, 0.5));
    assertEquals(choices(new SelectionRequest("s", 0, Set.of()), candidates), Map.of("b", CHOICES));
  }

  @Test
  public void equalLoadsAreSelectedInProportionToSpeed() {
    List<Candidate> candidates = List.of(candidate("a", "x", 4, 1.2), candidate("b", "x", 4, 0.6));
    int fast = choices(new SelectionRequest("s", 0, Set.of()), candidates).get("a");
    assertEquals(fast, CHOICES * 2 / 3.0, CHOICES * 0.03);
  }

  @Test
  public void engineOfPrefixIsKeptWithinMarginOnly() {
    SelectionRequest request = new SelectionRequest("s", 42, 10_000, "", Set.of());
    List<Candidate> even = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      even.add(candidate("u" + i, "x", 3, 1));
    }
    Map<String, Integer> kept = choices(request, even);
    assertEquals(kept.size(), 1);
    String engine = kept.keySet().iterator().next();
    List<Candidate> overloaded =
        even.stream()
            .map(c -> c.upstream().id().equals(engine) ? candidate(engine, "x", 6, 1) : c)
            .toList();
    assertFalse(choices(request, overloaded).containsKey(engine));
  }

  @Test
  public void dataCentreOfInputsIsLeftBeyondMargin() {
    SelectionRequest request = new SelectionRequest("s", 0, 0, "near", Set.of());
    List<Candidate> even = List.of(candidate("near", "near", 3, 1), candidate("far", "far", 3, 1));
    List<Candidate> uneven =
        List.of(candidate("near", "near", 6, 1), candidate("far", "far", 3, 1));
    assertEquals(choices(request, even), Map.of("near", CHOICES));
    assertEquals(choices(request, uneven), Map.of("far", CHOICES));
  }

  @Test
  public void excludedAndUnavailableAreNeverSelected() {
    List<Candidate> candidates =
        List.of(candidate("a", "x", 0, 1), candidate("b", "x", 9, 1).unavailable());
    assertTrue(selector.select(new SelectionRequest("s", 7, Set.of("a")), candidates).isEmpty());
  }
}
