package org.ragwortpick.forward;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.forward.RetryBudgetSimulation.Plan;
import org.ragwortpick.forward.RetryBudgetSimulation.Result;
import org.ragwortpick.forward.RetryBudgetSimulation.Vm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against more repeats of all VMs together in some window of 10 s than the retry budget
 * allows, whatever becomes of the VMs.
 */
public final class RetryBudgetOfAllVmsTest {

  private static final int SEEDS = Integer.getInteger("budget.seeds", 1);
  private static final long DURATION_MS = 90_000;

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{9, 35.0}, {66, 250.0}, {100, 400.0}};
  }

  private static void check(String name, int vms, double requestsPerSecond, Plan plan) {
    StringBuilder broken = new StringBuilder();
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result result =
          new RetryBudgetSimulation(seed, vms, requestsPerSecond).run(plan, DURATION_MS);
      System.out.printf("%s, %d VMs, seed %d: %s%n", name, vms, seed, result);
      if (!result.holds()) {
        broken.append("seed ").append(seed).append(": ").append(result).append('\n');
      }
    }
    assertTrue(broken.isEmpty(), name + ", " + vms + " VMs: " + broken);
  }

  private static boolean isDue(long elapsedMs, long intervalMs) {
    return elapsedMs % intervalMs == 0;
  }

  @Test(dataProvider = "sizes")
  public void steadyFailuresStayWithinBudget(int vms, double requestsPerSecond) {
    check("steady failures", vms, requestsPerSecond, (simulation, elapsedMs) -> {});
  }

  @Test(dataProvider = "sizes")
  public void failuresThatComeAndGoStayWithinBudget(int vms, double requestsPerSecond) {
    check(
        "bursts of failures",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) ->
            simulation.setFailureProbability(elapsedMs % 9_700 < 1_500 ? 1 : 0));
  }

  /** Counting each VM's requests over a window of its own would count the same load twice. */
  @Test(dataProvider = "sizes")
  public void loadThatMovesBetweenVmsIsNotCountedTwice(int vms, double requestsPerSecond) {
    check(
        "load that moves",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> {
          boolean firstHalf = elapsedMs / 8_000 % 2 == 0;
          long inPeriodMs = elapsedMs % 8_000;
          simulation.setFailureProbability(inPeriodMs > 6_000 ? 1 : 0);
          for (int i = 0; i < vms; i++) {
            simulation.vms().get(i).setLoadFactor((i < vms / 2) == firstHalf ? 2 : 0);
          }
        });
  }

  /** Where the budget suffices, it must cost callers nothing. */
  @Test(dataProvider = "sizes")
  public void fewFailuresAreRepeated(int vms, double requestsPerSecond) {
    check(
        "few failures",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> simulation.setFailureProbability(0.03));
  }

  /** The same while processes are restarted. */
  @Test(dataProvider = "sizes")
  public void fewFailuresAreRepeatedBesideRestarts(int vms, double requestsPerSecond) {
    check(
        "few failures beside restarts",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> {
          simulation.setFailureProbability(0.03);
          if (isDue(elapsedMs, 3_000)) {
            int index = simulation.random().nextInt(vms);
            simulation.restart(index, simulation.vms().get(index).name());
          }
        });
  }

  @Test(dataProvider = "sizes")
  public void restartedProcessesStayWithinBudget(int vms, double requestsPerSecond) {
    check(
        "restarts",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> {
          if (isDue(elapsedMs, 900)) {
            int index = simulation.random().nextInt(vms);
            simulation.restart(index, simulation.vms().get(index).name());
          }
        });
  }

  @Test(dataProvider = "sizes")
  public void replacedVmsStayWithinBudget(int vms, double requestsPerSecond) {
    check(
        "replacements",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> {
          if (isDue(elapsedMs, 1_500)) {
            int index = simulation.random().nextInt(vms);
            simulation.restart(index, "new-" + elapsedMs);
          }
        });
  }

  @Test(dataProvider = "sizes")
  public void vmsThatAreCutOffStayWithinBudget(int vms, double requestsPerSecond) {
    check("cuts", vms, requestsPerSecond, RetryBudgetOfAllVmsTest::cut);
  }

  private static void cut(RetryBudgetSimulation simulation, long elapsedMs) {
    if (isDue(elapsedMs, 1_000)) {
      List<Vm> vms = simulation.vms();
      int cutInPeriod = (int) (elapsedMs / 20_000);
      for (int i = 0; i < vms.size(); i++) {
        // Three quarters of the VMs are cut off for 3 s to 13 s, each time others.
        boolean affected = (i + cutInPeriod) % 4 != 0;
        long inPeriodMs = elapsedMs % 20_000;
        vms.get(i)
            .setConnected(!affected || inPeriodMs < 4_000 || inPeriodMs > 7_000 + 1_000 * (i % 11));
      }
    }
  }

  @Test(dataProvider = "sizes")
  public void mixedDisruptionsStayWithinBudget(int vms, double requestsPerSecond) {
    check(
        "mixed disruptions",
        vms,
        requestsPerSecond,
        (simulation, elapsedMs) -> {
          if (!isDue(elapsedMs, 500)) {
            return;
          }
          Vm vm = simulation.vms().get(simulation.random().nextInt(vms));
          switch (simulation.random().nextInt(8)) {
            case 0 -> simulation.restart(simulation.vms().indexOf(vm), vm.name());
            case 1 -> simulation.restart(simulation.vms().indexOf(vm), "new-" + elapsedMs);
            case 2 -> vm.setConnected(false);
            case 3 -> vm.setFrozen(true);
            case 4 -> simulation.vms().forEach(other -> other.setConnected(true));
            case 5 -> simulation.vms().forEach(other -> other.setFrozen(false));
            case 6 -> vm.setLoadFactor(simulation.random().nextInt(4));
            default -> simulation.setFailureProbability(simulation.random().nextDouble());
          }
        });
  }
}
