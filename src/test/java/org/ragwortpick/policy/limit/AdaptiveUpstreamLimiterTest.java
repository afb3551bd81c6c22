package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.Test;

/**
 * Guards against slots that are lost or counted twice, ejections that leave too few upstreams,
 * ejected upstreams that are never probed again, and undetected cold starts.
 */
public final class AdaptiveUpstreamLimiterTest {

  private static final long SEED = 14;

  private final ManualClock clock = new ManualClock();

  @Test
  public void conservesSlotsAndNeverEjectsMoreThanHalf() {
    SplittableRandom random = new SplittableRandom(SEED);
    for (int size = 1; size <= 9; size++) {
      AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 3);
      List<Upstream> upstreams = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        upstreams.add(TestUpstreams.ready(size + "-" + i, "a", 0));
      }
      Map<Upstream, Integer> taken = new HashMap<>();
      for (int step = 0; step < 10_000; step++) {
        clock.advanceMs(random.nextInt(200));
        upstreams.forEach(limiter::describe);
        Upstream upstream = upstreams.get(random.nextInt(size));
        int inFlight = taken.getOrDefault(upstream, 0);
        if (random.nextBoolean()) {
          boolean available = limiter.describe(upstream).isAvailable();
          assertEquals(limiter.tryAcquire(upstream), available);
          taken.put(upstream, inFlight + (available ? 1 : 0));
        } else if (inFlight > 0) {
          AttemptResult result =
              random.nextInt(3) == 0
                  ? AttemptResult.values()[random.nextInt(AttemptResult.values().length)]
                  : AttemptResult.FAILED;
          limiter.release(upstream, result, random.nextInt(100) - 10);
          taken.put(upstream, inFlight - 1);
        }
        assertEquals(limiter.describe(upstream).inFlight(), (int) taken.getOrDefault(upstream, 0));
        assertTrue(taken.getOrDefault(upstream, 0) <= TestUpstreams.SLOTS);
        long ejected = upstreams.stream().filter(u -> limiter.isEjected(u.id())).count();
        assertTrue(ejected * 2 <= size, "seed " + SEED + " size " + size + " step " + step);
      }
    }
  }

  /** A suspended VM treated all upstreams of a service as cold when it was resumed. */
  @Test
  public void ignoresTimeoutsAfterLocalPause() {
    AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 1);
    Upstream upstream = TestUpstreams.ready("a", "a", 0);
    limiter.describe(TestUpstreams.ready("b", "a", 0));
    limiter.describe(TestUpstreams.ready("c", "a", 0));
    limiter.expire();
    for (int i = 0; i < 3; i++) {
      assertTrue(limiter.tryAcquire(upstream));
    }
    clock.advanceMs(4_000);
    for (int i = 0; i < 3; i++) {
      limiter.release(upstream, AttemptResult.TIMED_OUT, -1);
    }
    assertFalse(limiter.looksCold(upstream));
    assertFalse(limiter.isEjected("a"));
  }

  /**
   * Otherwise a slow service stops completely, because cold upstreams receive work by leases only.
   */
  @Test
  public void timeoutsAtMostUpstreamsDoNotLookCold() {
    AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 1);
    List<Upstream> upstreams =
        List.of(
            TestUpstreams.ready("a", "a", 0),
            TestUpstreams.ready("b", "a", 0),
            TestUpstreams.ready("c", "a", 0));
    upstreams.forEach(limiter::describe);
    timeOutTwice(limiter, upstreams.get(0));
    assertTrue(limiter.looksCold(upstreams.get(0)));
    timeOutTwice(limiter, upstreams.get(1));
    upstreams.forEach(upstream -> assertFalse(limiter.looksCold(upstream)));
  }

  private static void timeOutTwice(AdaptiveUpstreamLimiter limiter, Upstream upstream) {
    for (int i = 0; i < 2; i++) {
      limiter.tryAcquire(upstream);
      limiter.release(upstream, AttemptResult.TIMED_OUT, -1);
    }
  }

  @Test
  public void probesEjectedUpstreamWithOneRequestAfterBackoff() {
    AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 1);
    Upstream failing = TestUpstreams.ready("a", "a", 0);
    limiter.describe(TestUpstreams.ready("b", "a", 0));
    failWhileAvailable(limiter, failing);
    assertTrue(limiter.isEjected("a"));
    clock.advanceMs(1_000);
    assertTrue(limiter.tryAcquire(failing));
    assertFalse(limiter.tryAcquire(failing));
    limiter.release(failing, AttemptResult.FAILED, -1);
    clock.advanceMs(1_000);
    assertFalse(limiter.tryAcquire(failing), "the backoff doubles after a failed probe");
    clock.advanceMs(1_000);
    assertTrue(limiter.tryAcquire(failing));
    limiter.release(failing, AttemptResult.SUCCESS, 10);
    assertFalse(limiter.isEjected("a"));
  }

  private static void failWhileAvailable(AdaptiveUpstreamLimiter limiter, Upstream upstream) {
    for (int i = 0; i < 10 && limiter.tryAcquire(upstream); i++) {
      limiter.release(upstream, AttemptResult.FAILED, -1);
    }
  }

  @Test
  public void refusalsOfIdleUpstreamLookCold() {
    AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 1);
    Upstream idle = TestUpstreams.ready("a", "a", 0);
    Upstream busy = TestUpstreams.ready("b", "a", TestUpstreams.SLOTS);
    for (Upstream upstream : List.of(idle, busy)) {
      for (int i = 0; i < 2; i++) {
        assertTrue(limiter.tryAcquire(upstream));
        limiter.release(upstream, AttemptResult.REFUSED, -1);
      }
    }
    assertTrue(limiter.looksCold(idle));
    assertFalse(limiter.looksCold(busy));
    clock.advanceMs(3_000);
    assertFalse(limiter.looksCold(idle));
  }

  @Test
  public void latencyJumpOfOneUpstreamLooksColdAndOfMostDoesNot() {
    AdaptiveUpstreamLimiter limiter = new AdaptiveUpstreamLimiter(clock, 1);
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      upstreams.add(TestUpstreams.ready("u" + i, "a", 0));
    }
    upstreams.forEach(upstream -> respond(limiter, upstream, 30, 100));
    respond(limiter, upstreams.get(0), 5, 900);
    assertTrue(limiter.looksCold(upstreams.get(0)));
    assertFalse(limiter.looksCold(upstreams.get(1)));
    respond(limiter, upstreams.get(1), 5, 900);
    assertFalse(limiter.looksCold(upstreams.get(0)), "a slow service is not a cold start");
  }

  private static void respond(
      AdaptiveUpstreamLimiter limiter, Upstream upstream, int times, long firstByteMs) {
    for (int i = 0; i < times; i++) {
      assertTrue(limiter.tryAcquire(upstream));
      limiter.release(upstream, AttemptResult.SUCCESS, firstByteMs);
    }
  }
}
