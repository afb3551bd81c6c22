package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.Test;

/** Guards against requests during a requested pause, and against pauses that never end. */
public final class RequestedPausesTest {

  private static final Upstream FIRST = TestUpstreams.upstream("u1", "s", 1);
  private static final Upstream RESTARTED = TestUpstreams.upstream("u1", "s", 2);
  private static final Upstream OTHER = TestUpstreams.upstream("u2", "s", 1);

  private final ManualClock clock = new ManualClock();
  private final RequestedPauses pauses = new RequestedPauses(clock, new Random(1));

  @Test
  public void pauseLastsAtLeastAsLongAsRequestedAndEnds() {
    pauses.record(FIRST, 2_000);
    clock.advanceMs(1_999);
    assertTrue(pauses.isPaused(FIRST));
    assertFalse(pauses.isPaused(OTHER));
    assertFalse(pauses.isPaused(RESTARTED), "a restarted upstream requested no pause");
    clock.advanceMs(501);
    assertFalse(pauses.isPaused(FIRST));
  }

  @Test
  public void shorterRequestDoesNotShortenPause() {
    pauses.record(OTHER, 5_000);
    pauses.record(OTHER, 100);
    clock.advanceMs(4_999);
    assertTrue(pauses.isPaused(OTHER));
  }

  @Test
  public void absurdPauseEnds() {
    Upstream upstream = TestUpstreams.upstream("u3", "s", 1);
    pauses.record(upstream, Long.MAX_VALUE);
    clock.advanceMs(60_500);
    assertFalse(pauses.isPaused(upstream));
  }

  @Test
  public void pausesOfManyVmsDoNotEndInOneInstant() {
    long ends =
        IntStream.range(0, 100)
            .mapToLong(
                vm -> {
                  RequestedPauses ofVm = new RequestedPauses(clock, new SplittableRandom(vm));
                  ofVm.record(FIRST, 4_000);
                  return ofVm.untilMs(FIRST);
                })
            .distinct()
            .count();
    assertTrue(ends >= 50, ends + " different ends");
  }

  @Test
  public void serviceIsPausedUntilItsFirstUpstreamIsNot() {
    Upstream a = TestUpstreams.upstream("a", "s", 1);
    Upstream b = TestUpstreams.upstream("b", "s", 1);
    pauses.record(a, 1_000);
    assertEquals(pauses.remainingMs(List.of(a, b)), 0);
    pauses.record(b, 9_000);
    assertTrue(pauses.remainingMs(List.of(a, b)) >= 1_000);
    assertTrue(pauses.remainingMs(List.of(a, b)) <= 1_250);
    assertEquals(pauses.remainingMs(List.of()), 0);
  }
}
