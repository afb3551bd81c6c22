package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.Test;

/** Guards against traffic that stays on an upstream that fails while it is announced as healthy. */
public final class UpstreamLoadsTest {

  private static final Upstream UPSTREAM =
      TestUpstreams.upstream("u1", 1, 1, UpstreamState.READY, 0, 1, 10);

  private static final long USUAL_MS = 1_000;

  private final ManualClock clock = new ManualClock();
  private final UpstreamLoads loads = new UpstreamLoads(clock);

  private Candidate describe() {
    return loads.describe(List.of(UPSTREAM)).get(0);
  }

  @Test
  public void countsRequestsSinceReportUntilReportIsStale() {
    PendingResponse first = loads.recordStart("u1", USUAL_MS);
    loads.recordReport("u1", 7);
    PendingResponse second = loads.recordStart("u1", USUAL_MS);
    assertEquals(describe().expectedLoad(), 8.0);
    clock.advanceMs(3_000);
    assertEquals(describe().expectedLoad(), 2.0);
    assertFalse(loads.recordEnd(first));
    assertFalse(loads.recordEnd(second));
  }

  @Test
  public void failuresCountAsLoadAndDecay() {
    UpstreamLoads failing = new UpstreamLoads(clock);
    failing.recordFailure("u1");
    Candidate now = failing.describe(List.of(UPSTREAM)).get(0);
    assertEquals(now.expectedLoad(), 5.0);
    assertTrue(now.isAvailable());
    clock.advanceMs(2_000);
    assertEquals(failing.describe(List.of(UPSTREAM)).get(0).expectedLoad(), 2.5);
  }

  @Test
  public void unreachedUpstreamIsUnavailableDuringCooldown() {
    UpstreamLoads unreached = new UpstreamLoads(clock);
    unreached.recordUnreached("u1");
    assertFalse(unreached.describe(List.of(UPSTREAM)).get(0).isAvailable());
    clock.advanceMs(500);
    assertTrue(unreached.describe(List.of(UPSTREAM)).get(0).isAvailable());
  }

  @Test
  public void requestFarLaterThanUsualCountsAsFailureAsLongAsItLasts() {
    PendingResponse request = loads.recordStart("u1", USUAL_MS);
    clock.advanceMs(8 * USUAL_MS - 1);
    assertEquals(describe().expectedLoad(), 1.0);
    clock.advanceMs(60_000);
    assertEquals(describe().expectedLoad(), 6.0);
    assertTrue(loads.recordEnd(request));
    assertEquals(describe().expectedLoad(), 0.0);
  }

  @Test
  public void slowRequestThatGetsItsResponseIsNoFailure() {
    PendingResponse request = loads.recordStart("u1", USUAL_MS);
    clock.advanceMs(9 * USUAL_MS);
    loads.recordHead(request, true);
    assertEquals(describe().expectedLoad(), 1.0);
    assertFalse(loads.recordEnd(request));
  }

  private PendingResponse overtake(PendingResponse waiting, boolean served) {
    for (int i = 0; i < 3; i++) {
      PendingResponse later = loads.recordStart("u1", USUAL_MS);
      loads.recordHead(later, served);
      loads.recordEnd(later);
    }
    return waiting;
  }

  @Test
  public void overtakenRequestCountsAsFailureSooner() {
    PendingResponse waiting = overtake(loads.recordStart("u1", USUAL_MS), true);
    clock.advanceMs(2 * USUAL_MS - 1);
    assertEquals(describe().expectedLoad(), 1.0);
    clock.advanceMs(1);
    assertEquals(describe().expectedLoad(), 6.0);
    assertTrue(loads.recordEnd(waiting));
  }

  /** A full upstream refuses new requests at once while earlier ones wait in its queue. */
  @Test
  public void refusalsOvertakeNoRequest() {
    PendingResponse waiting = overtake(loads.recordStart("u1", USUAL_MS), false);
    clock.advanceMs(2 * USUAL_MS);
    assertFalse(loads.recordEnd(waiting));
  }
}
