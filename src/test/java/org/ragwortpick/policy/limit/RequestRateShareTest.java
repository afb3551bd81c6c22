package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against VMs that stay within the rate of a cold upstream individually but exceed it
 * together.
 */
public final class RequestRateShareTest {

  private static final long SEED = 20_261_204;

  /**
   * Measures the most requests of all VMs in any one second while each VM sends as many as it may.
   */
  private static int maxRequestsInAnySecond(int vmCount, double requestsPerSecond) {
    ManualClock clock = new ManualClock();
    List<String> names = new ArrayList<>();
    List<RequestRateShare> shares = new ArrayList<>();
    for (int i = 0; i < vmCount; i++) {
      names.add("vm-" + i);
      shares.add(new RequestRateShare(clock));
    }
    DividedRate rate = DividedRate.ofColdUpstream(requestsPerSecond);
    List<SenderRank> ranks =
        names.stream().map(name -> SenderRank.byRendezvous("u1", name, names)).toList();
    Random random = new Random(SEED);
    Deque<Long> sent = new ArrayDeque<>();
    int maxRequests = 0;
    for (int step = 0; step < 20_000; step++) {
      clock.advanceMs(random.nextInt(3));
      long nowMs = clock.millis();
      int vm = random.nextInt(vmCount);
      if (shares.get(vm).tryTake("u1", rate, ranks.get(vm))) {
        sent.add(nowMs);
      }
      while (!sent.isEmpty() && nowMs - sent.peek() >= 1_000) {
        sent.remove();
      }
      maxRequests = Math.max(maxRequests, sent.size());
    }
    assertTrue(maxRequests > 0, "the cold upstream receives no request, seed " + SEED);
    return maxRequests;
  }

  @Test
  public void sumOfSharesStaysWithinRate() {
    for (int vms : new int[] {1, 9, 64, 340}) {
      int maxRequests = maxRequestsInAnySecond(vms, 12);
      assertTrue(
          maxRequests <= 12,
          vms + " VMs sent " + maxRequests + " requests in a second, seed " + SEED);
    }
  }
}
