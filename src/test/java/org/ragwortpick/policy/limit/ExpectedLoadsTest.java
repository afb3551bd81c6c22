package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.Test;

/** Guards against upstreams that look idle because their reports are old. */
public final class ExpectedLoadsTest {

  private final ManualClock clock = new ManualClock();
  private final UpstreamLoads loads = new UpstreamLoads(clock);
  private final UpstreamSpeeds speeds = new UpstreamSpeeds(clock);

  private double expected(String id) {
    List<Upstream> upstreams =
        List.of(TestUpstreams.upstream("busy", "s", 1), TestUpstreams.upstream("idle", "s", 1));
    return loads.describeExpected(upstreams, speeds).stream()
        .filter(candidate -> candidate.upstream().id().equals(id))
        .mapToDouble(Candidate::expectedLoad)
        .sum();
  }

  @Test
  public void loadOfOtherVmsRegressesToMeanAndOwnRequestsCountFully() {
    loads.recordReport("busy", 12);
    loads.recordReport("idle", 0);
    loads.recordStart("idle", 1_000);
    assertEquals(expected("busy"), 12.0);
    assertEquals(expected("idle"), 1.0);
    clock.advanceMs(1_000);
    assertEquals(expected("busy"), 6 + 6 / Math.E, 0.01);
    assertEquals(expected("idle"), 7 - 6 / Math.E, 0.01);
    clock.advanceMs(1_000);
    assertEquals(expected("busy"), 6.0);
    assertEquals(expected("idle"), 7.0);
  }

  /**
   * Guards against upstreams in cold start that are never selected because they look overloaded.
   */
  @Test
  public void coldUpstreamIsExpectedToHoldItsShareOnly() {
    Upstream cold = TestUpstreams.upstream("cold", 1, 1, UpstreamState.COLD, 0, 2, 16);
    Upstream warm = TestUpstreams.upstream("warm", 1, 1, UpstreamState.READY, 0, 2, 16);
    loads.recordReport("warm", 8);
    Candidate described = loads.describeExpected(List.of(cold, warm), speeds).get(0);
    assertEquals(described.expectedLoad(), 1.0);
  }

  @Test
  public void momentarilySlowUpstreamHasMoreExpectedLoad() {
    loads.recordReport("busy", 6);
    for (int i = 0; i < 50; i++) {
      speeds.recordWorkTime("busy", 100);
    }
    speeds.recordWorkTime("busy", 200);
    assertEquals(expected("busy"), 12, 0.6);
  }
}
