package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against VMs that each respect the rate of a cold upstream and exceed it together. */
public final class ColdRateShareTest {

  private static final long SEED = 20_261_204;

  /** Most requests in any second over all VMs, each of which asks as often as it can. */
  private static int worstSecond(int vmCount, double requestsPerSecond) {
    ManualClock clock = new ManualClock();
    List<String> names = new ArrayList<>();
    List<ColdRateShare> shares = new ArrayList<>();
    for (int i = 0; i < vmCount; i++) {
      names.add("vm-" + i);
      shares.add(new ColdRateShare("vm-" + i, clock));
    }
    Random random = new Random(SEED);
    Deque<Long> sent = new ArrayDeque<>();
    int worst = 0;
    for (int step = 0; step < 20_000; step++) {
      clock.advanceMs(random.nextInt(3));
      long nowMs = clock.millis();
      int vm = random.nextInt(vmCount);
      if (shares.get(vm).tryTake("u1", requestsPerSecond, names)) {
        sent.add(nowMs);
      }
      while (!sent.isEmpty() && nowMs - sent.peek() >= 1_000) {
        sent.remove();
      }
      worst = Math.max(worst, sent.size());
    }
    assertTrue(worst > 0, "a cold upstream gets no request at all, seed " + SEED);
    return worst;
  }

  @Test
  public void theSumOfAllSharesStaysWithinTheRate() {
    for (int vms : new int[] {1, 9, 64, 340}) {
      int worst = worstSecond(vms, 12);
      assertTrue(worst <= 12, vms + " VMs sent " + worst + " requests in a second, seed " + SEED);
    }
  }
}
