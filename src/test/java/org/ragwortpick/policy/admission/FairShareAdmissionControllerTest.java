package org.ragwortpick.policy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.policy.AdmissionRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against starvation of workspaces, lower priorities served before higher ones beyond the
 * minimum share, permits that are lost or granted twice, and requests that wait beyond their
 * deadline.
 */
public final class FairShareAdmissionControllerTest {

  private static final long SEED = 15;
  private static final int MINIMUM_SHARE_PERCENT = 10;
  private static final long FAR_DEADLINE_MS = 1_000_000_000;

  private final ManualClock clock = new ManualClock();
  private final Map<String, Integer> waiting = new HashMap<>();
  private final List<String> granted = new ArrayList<>();
  private FairShareAdmissionController controller;

  @BeforeMethod
  void createController() {
    controller = new FairShareAdmissionController(clock, 1_000, 5_000);
    waiting.clear();
    granted.clear();
  }

  private static Configuration configuration(int percent, List<String> order) {
    List<Workspace> workspaces =
        List.of(
            new Workspace("w1", 1),
            new Workspace("w2", 1),
            new Workspace("w3", 3),
            new Workspace("w4", 1),
            new Workspace("w5", 1));
    Inventory inventory = new Inventory("r", List.of(), List.of(), List.of(), workspaces);
    return new Configuration(1, inventory, new Rules(List.of(), order, percent, Map.of()));
  }

  private CompletableFuture<Boolean> admit(String workspace, long deadlineMs) {
    AdmissionRequest request = new AdmissionRequest(workspace, clock.millis() + deadlineMs);
    return controller.admit(request).toCompletableFuture();
  }

  private void enqueue(String workspace) {
    waiting.merge(workspace, 1, Integer::sum);
    admit(workspace, FAR_DEADLINE_MS)
        .thenAccept(
            admitted -> {
              assertTrue(admitted);
              waiting.merge(workspace, -1, Integer::sum);
              granted.add(workspace);
            });
  }

  @Test
  public void servesPrioritiesInOrderAndMinimumShares() {
    controller.update(configuration(MINIMUM_SHARE_PERCENT, List.of("w1", "w2")), 1);
    SplittableRandom random = new SplittableRandom(SEED);
    enqueue("w1");
    for (int i = 0; i < 20; i++) {
      enqueue("w5");
    }
    int grantsSinceW5 = 0;
    int grantsBeforeHigherPriority = 0;
    for (int step = 0; step < 20_000; step++) {
      clock.advanceMs(1);
      enqueue("w5");
      // The requests of the highest priority alone could use the whole capacity.
      enqueue(waiting.get("w1") < 500 ? "w1" : "w2");
      if (random.nextInt(3) > 0) {
        enqueue("w" + (2 + random.nextInt(3)));
      }
      int grants = granted.size();
      Map<String, Integer> before = new HashMap<>(waiting);
      controller.release(granted.get(grants - 1));
      assertEquals(granted.size(), grants + 1);
      String served = granted.get(grants);
      grantsSinceW5 = served.equals("w5") ? 0 : grantsSinceW5 + 1;
      assertTrue(
          grantsSinceW5 <= 100 / MINIMUM_SHARE_PERCENT + 5, "seed " + SEED + " step " + step);
      boolean isHigherPriorityWaiting =
          !served.equals("w1") && before.getOrDefault("w1", 0) > 0
              || Integer.parseInt(served.substring(1)) > 2 && before.getOrDefault("w2", 0) > 0;
      grantsBeforeHigherPriority += isHigherPriorityWaiting ? 1 : 0;
      if (before.getOrDefault("w5", 0) > 900) {
        break;
      }
    }
    // Four workspaces may each be served by minimum share before a waiting higher priority.
    assertTrue(
        grantsBeforeHigherPriority <= granted.size() * 4 * MINIMUM_SHARE_PERCENT / 100 + 5,
        "grants before a waiting higher priority: " + grantsBeforeHigherPriority);
    assertTrue(granted.size() > 900);
  }

  @Test
  public void servesHigherPriorityFirstWithoutMinimumShare() {
    controller.update(configuration(0, List.of("w1", "w2")), 1);
    enqueue("w5");
    for (int i = 0; i < 50; i++) {
      enqueue("w5");
      enqueue("w2");
      enqueue("w1");
    }
    for (int i = 0; i < 150; i++) {
      controller.release(granted.get(granted.size() - 1));
    }
    assertEquals(granted.subList(1, 51).stream().distinct().toList(), List.of("w1"));
    assertEquals(granted.subList(51, 101).stream().distinct().toList(), List.of("w2"));
  }

  @Test
  public void sharesByWeightWithinPriorityDuringBurst() {
    controller.update(configuration(0, List.of()), 1);
    for (int i = 0; i < 900; i++) {
      enqueue("w4");
    }
    for (int i = 0; i < 300; i++) {
      enqueue("w3");
      enqueue("w5");
    }
    for (int i = 0; i < 350; i++) {
      controller.release(granted.get(granted.size() - 1));
    }
    List<String> contended = granted.subList(1, 351);
    assertEquals(contended.stream().filter("w3"::equals).count(), 210, 3);
    assertEquals(contended.stream().filter("w4"::equals).count(), 70, 3);
    assertEquals(contended.stream().filter("w5"::equals).count(), 70, 3);
  }

  @Test
  public void conservesPermitsAndCompletesEveryRequest() {
    SplittableRandom random = new SplittableRandom(SEED);
    FairShareAdmissionController small = new FairShareAdmissionController(clock, 5, 12);
    Map<String, Integer> running = new HashMap<>();
    List<CompletableFuture<Boolean>> open = new ArrayList<>();
    int capacity = 4;
    small.update(configuration(MINIMUM_SHARE_PERCENT, List.of("w1")), capacity);
    for (int step = 0; step < 50_000; step++) {
      clock.advanceMs(random.nextInt(5));
      String workspace = "w" + (1 + random.nextInt(6));
      if (random.nextInt(2) == 0) {
        long deadlineAtMs = clock.millis() + random.nextInt(60) - 2;
        CompletableFuture<Boolean> result =
            small.admit(new AdmissionRequest(workspace, deadlineAtMs)).toCompletableFuture();
        result.thenAccept(
            admitted -> {
              if (admitted) {
                assertTrue(clock.millis() < deadlineAtMs, "admitted after its deadline");
                running.merge(workspace, 1, Integer::sum);
              }
            });
        open.add(result);
      } else if (running.getOrDefault(workspace, 0) > 0) {
        running.merge(workspace, -1, Integer::sum);
        small.release(workspace);
      }
      if (random.nextInt(50) == 0) {
        capacity = 1 + random.nextInt(6);
        small.update(
            configuration(MINIMUM_SHARE_PERCENT, random.nextBoolean() ? List.of() : List.of("w2")),
            capacity);
      }
      if (random.nextInt(10) == 0) {
        small.expire();
      }
      open.removeIf(CompletableFuture::isDone);
      int total = running.values().stream().mapToInt(Integer::intValue).sum();
      assertEquals(small.running(), total, "seed " + SEED + " step " + step);
      assertEquals(small.waiting(), open.size());
      assertTrue(open.size() <= 12 + 6);
    }
    clock.advanceMs(1_000);
    small.expire();
    assertTrue(open.stream().allMatch(CompletableFuture::isDone));
  }

  @Test
  public void refusesExpiredDeadlineAndWaitBeyondDeadline() {
    controller.update(configuration(0, List.of()), 1);
    assertFalse(admit("w1", 0).getNow(null));
    assertTrue(admit("w1", FAR_DEADLINE_MS).getNow(null));
    for (int i = 0; i < 60; i++) {
      admit("w1", FAR_DEADLINE_MS);
    }
    for (int i = 0; i < 40; i++) {
      clock.advanceMs(100);
      controller.release("w1");
    }
    assertFalse(admit("w1", 50).getNow(null), "a grant takes 100 ms");
    CompletableFuture<Boolean> urgent = admit("w1", 150);
    assertFalse(urgent.isDone());
    clock.advanceMs(100);
    controller.release("w1");
    assertTrue(urgent.getNow(null), "the earliest deadline is served first");
  }
}
