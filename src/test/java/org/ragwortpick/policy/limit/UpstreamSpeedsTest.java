package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against slow upstreams that get as much work as fast ones, and against hasty judgement.
 */
public final class UpstreamSpeedsTest {

  private final ManualClock clock = new ManualClock();

  @Test
  public void lastingSpeedIsLearnedFromResponsesOfEachRoute() {
    UpstreamSpeeds speeds = new UpstreamSpeeds(clock);
    assertEquals(speeds.speed("fast"), 1.0);
    for (int i = 0; i < 200; i++) {
      speeds.recordResponse("fast", "short", 100);
      speeds.recordResponse("slow", "short", 200);
      speeds.recordResponse("fast", "long", 4_000);
      speeds.recordResponse("slow", "long", 8_000);
    }
    assertEquals(speeds.speed("fast") / speeds.speed("slow"), 2, 0.2);
  }

  @Test
  public void oneExtremeResponseChangesLittle() {
    UpstreamSpeeds speeds = new UpstreamSpeeds(clock);
    for (int i = 0; i < 50; i++) {
      speeds.recordResponse("u", "r", 1_000);
    }
    speeds.recordResponse("u", "r", 1);
    assertEquals(speeds.speed("u"), 1, 0.05);
  }

  @Test
  public void momentaryWorkTimeLosesItsWeightWithinSecond() {
    UpstreamSpeeds speeds = new UpstreamSpeeds(clock);
    for (int i = 0; i < 50; i++) {
      speeds.recordWorkTime("u", 100);
    }
    speeds.recordWorkTime("u", 250);
    assertTrue(speeds.momentarySpeed("u") < 0.45);
    clock.advanceMs(1_000);
    assertTrue(speeds.momentarySpeed("u") > 0.95);
  }
}
