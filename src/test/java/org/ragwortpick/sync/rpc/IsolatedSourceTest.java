package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * Guards against a VM that learns of a change too late because the control VM that it polls is cut
 * off from the others, though the VM itself reaches all of them.
 */
public final class IsolatedSourceTest {

  /** Time within which a change must be in force on all VMs. */
  private static final long IN_FORCE_MS = 2_000;

  private static final long START_MS = 6_000;

  /** Time after which VMs with a path to the majority have recovered from a cut. */
  private static final long CONTACT_MS = 3_000;

  private static final long RUN_MS = 60_000;
  private static final long CHANGE_INTERVAL_MS = 200;

  @Test
  public void changeIsInForceInTimeOnVmsThatReachTheMajority() {
    Seeds.forEach(
        seed -> {
          long lagMs = run(seed);
          assertTrue(lagMs < IN_FORCE_MS, "seed " + seed + ": a view lagged by " + lagMs + " ms");
        });
  }

  /** Returns the longest time for which an entry VM did not know of a change. */
  private static long run(long seed) {
    LinkedVms vms = new LinkedVms(seed, 3, 6);
    vms.setMaxDelayMs(40);
    vms.excludeSlowMessages();
    run(vms, START_MS);
    LinkedVms.Vm isolated =
        vms.vms().stream()
            .filter(vm -> vm.isControl() && vm != vms.leader().orElseThrow())
            .findFirst()
            .orElseThrow();
    vms.vms().stream()
        .filter(vm -> vm.isControl() && vm != isolated)
        .forEach(vm -> vms.cut(vm, isolated, true));
    run(vms, CONTACT_MS);
    return run(vms, RUN_MS);
  }

  private static long run(LinkedVms vms, long durationMs) {
    long maxLagMs = 0;
    for (long endMs = vms.nowMs() + durationMs; vms.nowMs() < endMs; ) {
      vms.step();
      if (vms.nowMs() % CHANGE_INTERVAL_MS == 0) {
        vms.commit("dataCentre/dc1", "\"" + (vms.random().nextBoolean() ? "OUT" : "IN") + "\"");
      }
      for (LinkedVms.Vm vm : vms.vms()) {
        maxLagMs = vm.isControl() ? maxLagMs : Math.max(maxLagMs, lagMs(vms, vm));
      }
    }
    return maxLagMs;
  }

  private static long lagMs(LinkedVms vms, LinkedVms.Vm vm) {
    int next = (int) vm.state().view().current().revision() + 1;
    return next < vms.acceptedAtMs().size() ? vms.nowMs() - vms.acceptedAtMs().get(next) : 0;
  }
}
