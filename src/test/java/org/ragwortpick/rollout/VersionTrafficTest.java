package org.ragwortpick.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.config.Rules;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests to a version that may get none, and against failures of upstreams that
 * count as failures of their version.
 */
public final class VersionTrafficTest {

  private static final Upstream OLD = PlayedRollout.upstream("1");
  private static final Upstream NEW = PlayedRollout.upstream("2");
  private static final double SHARE = 0.1;
  private static final long MAX_VIEW_AGE_MS = 2_000;
  private static final long ALIVE_CHECK_MS = 4_000;

  private final List<Upstream> listed = new ArrayList<>();
  private ManualClock clock;
  private long viewAgeMs;
  private Rollout rollout;
  private VersionTraffic traffic;

  @BeforeMethod
  public void startRollout() {
    clock = new ManualClock();
    viewAgeMs = 0;
    listed.clear();
    listed.addAll(List.of(OLD, NEW));
    rollout =
        new Rollout(
            "2",
            60_000,
            Rollout.State.RUNNING,
            0,
            SHARE,
            MAX_VIEW_AGE_MS,
            5,
            5,
            "",
            List.of(),
            List.of());
    traffic =
        TrafficFixture.of(
            () ->
                new Configuration(
                    1,
                    Inventory.EMPTY,
                    Rules.EMPTY,
                    Map.of(),
                    Optional.empty(),
                    Map.of("s", rollout)),
            () -> viewAgeMs,
            listed,
            clock,
            7);
  }

  private Optional<Upstream> choose(Upstream... available) {
    return traffic
        .inOrder("s", List.of(available).stream().filter(traffic::allows).toList())
        .stream()
        .flatMap(List::stream)
        .findFirst();
  }

  private void sendToOld(int requests) {
    for (int i = 0; i < requests; i++) {
      traffic.begin(OLD, "r").onEnd(SentRequest.End.ANSWERED);
    }
  }

  private VersionCounts newCounts() {
    List<RouteCounts> routes = traffic.reports().get(0).routes();
    return routes.isEmpty() ? new VersionCounts() : routes.get(0).newVersion();
  }

  @Test
  public void newVersionGetsItsShareOfAnyNumberOfRequests() {
    int toNew = 0;
    for (int i = 0; i < 1_000; i++) {
      Upstream chosen = choose(OLD, NEW).orElseThrow();
      toNew += chosen == NEW ? 1 : 0;
      traffic.begin(chosen, "r");
    }
    assertTrue(toNew >= SHARE * 1_000 - 1 && toNew <= SHARE * 1_000 + 1, "" + toNew);
  }

  @Test
  public void outageOfOldVersionExposesNoMoreThanTheShare() {
    sendToOld(100);
    int toNew = 0;
    for (int i = 0; i < 100; i++) {
      Optional<Upstream> chosen = choose(NEW);
      chosen.ifPresent(upstream -> traffic.begin(upstream, "r"));
      toNew += chosen.isPresent() ? 1 : 0;
    }
    assertTrue(toNew <= 3, toNew + " requests");
  }

  /** The VM may not have heard that the version was rolled back. */
  @Test
  public void vmThatIsCutOffSendsNothingToNewVersion() {
    sendToOld(100);
    assertEquals(choose(OLD, NEW), Optional.of(NEW));
    assertTrue(traffic.isDue(NEW) && traffic.permits(NEW));
    viewAgeMs = MAX_VIEW_AGE_MS + 1;
    assertEquals(choose(OLD, NEW), Optional.of(OLD));
    assertFalse(traffic.isDue(NEW) || traffic.permits(NEW) || traffic.admits(NEW));
    rollout = rollout.in(Rollout.State.COMPLETING, 6);
    assertEquals(choose(OLD, NEW), Optional.of(OLD));
    assertTrue(traffic.admits(OLD));
    assertFalse(traffic.reports().get(0).moved());
  }

  @Test
  public void endedRolloutExcludesOneVersion() {
    Rollout running = rollout;
    rollout = running.in(Rollout.State.ROLLED_BACK, 6);
    assertEquals(choose(NEW), Optional.empty());
    assertFalse(traffic.permits(NEW) || traffic.admits(NEW));
    rollout = running.in(Rollout.State.COMPLETED, 6);
    assertEquals(choose(OLD), Optional.empty());
    assertFalse(traffic.permits(OLD) || traffic.admits(OLD));
    viewAgeMs = MAX_VIEW_AGE_MS + 1;
    assertEquals(choose(OLD, NEW), Optional.of(NEW));
  }

  @Test
  public void moveKeepsOldVersionAsTheLastResort() {
    rollout = rollout.in(Rollout.State.COMPLETING, 6);
    assertFalse(traffic.admits(OLD));
    assertEquals(choose(OLD, NEW), Optional.of(NEW));
    listed.remove(NEW);
    assertTrue(traffic.admits(OLD));
    assertEquals(choose(OLD), Optional.of(OLD));
  }

  @Test
  public void requestsInFlightAtOldVersionAreReportedUntilTheyEnd() {
    SentRequest sent = traffic.begin(OLD, "r");
    assertEquals(traffic.reports().get(0).oldInFlight(), 1);
    sent.onEnd(SentRequest.End.ANSWERED);
    sent.onEnd(SentRequest.End.FAILED);
    assertEquals(traffic.reports().get(0).oldInFlight(), 0);
    assertEquals(traffic.reports().get(0).routes().get(0).oldVersion().failures(), 0);
  }

  /** An upstream that ended breaks off all its responses, whatever its version is. */
  @Test
  public void brokenResponseCountsOnlyIfItsUpstreamIsAlive() {
    traffic.begin(NEW, "r").onEnd(SentRequest.End.BROKEN);
    assertEquals(newCounts().failures(), 0);
    clock.advanceMs(1);
    SentRequest later = traffic.begin(NEW, "r");
    later.onFirstByte();
    assertEquals(newCounts().failures(), 1);
    traffic.begin(NEW, "r").onEnd(SentRequest.End.BROKEN);
    clock.advanceMs(ALIVE_CHECK_MS);
    assertEquals(newCounts().failures(), 2);
    traffic.begin(NEW, "r").onEnd(SentRequest.End.BROKEN);
    listed.remove(NEW);
    clock.advanceMs(ALIVE_CHECK_MS);
    assertEquals(newCounts().failures(), 2);
  }

  @Test
  public void nextOrderStartsWithNewCounts() {
    sendToOld(100);
    rollout =
        new Rollout(
            "2",
            60_000,
            Rollout.State.RUNNING,
            0,
            SHARE,
            MAX_VIEW_AGE_MS,
            9,
            9,
            "",
            List.of(),
            List.of());
    VersionReport report = traffic.reports().get(0);
    assertEquals(report.order(), 9);
    assertEquals(report.sentOld(), 0);
  }
}
