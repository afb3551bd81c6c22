package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;
import org.ragwortpick.routing.RouteStage;
import org.testng.annotations.Test;

/** Guards against stage work for requests that a later queue makes miss their target latency. */
public final class StageAdmissionTest {

  private static final List<RouteStage> CHAIN =
      List.of(
          new RouteStage("a", List.of(), 10),
          new RouteStage("b", List.of(0), 10),
          new RouteStage("c", List.of(1), 10));

  private static final StageGraph GRAPH =
      new StageGraph(CHAIN, List.of(1, 1, 1), List.of(100L, 100L, 100L));

  private static ToLongFunction<String> waits(Map<String, Long> waitsMs) {
    return service -> waitsMs.getOrDefault(service, 0L);
  }

  private static OptionalLong decide(long targetMs, Map<String, Long> waitsMs) {
    return StageAdmission.refusedForWaitMs(GRAPH, targetMs, waits(waitsMs));
  }

  @Test
  public void requestThatMeetsItsTargetIsAdmitted() {
    assertEquals(decide(500, Map.of("a", 50L, "c", 150L)), OptionalLong.empty());
  }

  @Test
  public void requestIsRefusedForQueueOfLaterStage() {
    assertEquals(decide(500, Map.of("c", 201L)), OptionalLong.of(201));
    assertEquals(decide(500, Map.of("a", 80L, "b", 80L, "c", 80L)), OptionalLong.of(240));
  }

  @Test
  public void requestThatMissesItsTargetWithoutQueuesIsAdmitted() {
    assertEquals(decide(299, Map.of("c", 900L)), OptionalLong.empty());
  }

  @Test
  public void queueOfSkippedStageDoesNotCount() {
    StageGraph skipping = new StageGraph(CHAIN, List.of(1, 0, 1), List.of(100L, 0L, 100L));
    assertEquals(
        StageAdmission.refusedForWaitMs(skipping, 500, waits(Map.of("b", 900L))),
        OptionalLong.empty());
  }
}
