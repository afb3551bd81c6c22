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

  private final ManualClock clock = new ManualClock();
  private final UpstreamLoads loads = new UpstreamLoads(clock);

  private Candidate describe() {
    return loads.describe(List.of(UPSTREAM)).get(0);
  }

  @Test
  public void countsRequestsSinceReportUntilReportIsStale() {
    loads.recordStart("u1");
    loads.recordReport("u1", 7);
    loads.recordStart("u1");
    assertEquals(describe().expectedLoad(), 8.0);
    clock.advanceMs(3_000);
    assertEquals(describe().expectedLoad(), 2.0);
    loads.recordEnd("u1");
    loads.recordEnd("u1");
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
}
