package org.ragwortpick.bench;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortpick.bench.Scenario.Fault;

/** Runs all scenarios with both sets of decisions and prints the measures. */
public final class BenchMain {

  private static final long SEED = 20_261_204;

  /** Number of seeds with which each scenario runs; the counts of the runs are added up. */
  private static final int RUNS_PER_SCENARIO = 3;

  private static final double STEADY_LOAD = 0.7;
  private static final double MOVE_LOAD = 0.5;

  private BenchMain() {}

  /**
   * Runs the simulation, or measures the cost of decisions.
   *
   * @param args {@code slopes} to measure the cost of decisions, {@code trace} to print outcome
   *     counts
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("slopes")) {
      new DecisionCosts().print();
      return;
    }
    boolean trace = args.length > 0 && args[0].equals("trace");
    Report report = new Report(trace);
    for (Deployment deployment : List.of(Deployment.komarnik(), Deployment.carga())) {
      runScenarios(deployment, report);
    }
    report.print();
  }

  private static void runScenarios(Deployment deployment, Report report) {
    Scenario burst = new Scenario("burst", 100_000, 0.6, 2, 1.5, 30_000, 50_000, Fault.NONE);
    List<Scenario> scenarios =
        List.of(
            Scenario.of("steady", STEADY_LOAD, Fault.NONE),
            burst,
            Scenario.of("slow-stage", 0.6, Fault.SLOW_STAGE),
            Scenario.of("failing", 0.6, Fault.FAILING),
            Scenario.of("cold-start", 0.5, Fault.COLD_START),
            Scenario.of("silent-cold", 0.6, Fault.SILENT_COLD));
    for (Scenario scenario : scenarios) {
      ResultPair pair = runBoth(deployment, scenario, scenario);
      report.add(deployment, scenario, pair);
    }
    Scenario withoutMove = Scenario.of("move", MOVE_LOAD, Fault.NONE);
    ResultPair resultsWithoutMove = runBoth(deployment, withoutMove, withoutMove);
    Scenario move = Scenario.of("move", MOVE_LOAD, Fault.MOVE);
    report.addMove(deployment, move, runBoth(deployment, move, withoutMove), resultsWithoutMove);
    Scenario isolated = Scenario.of("move-isolated", MOVE_LOAD, Fault.MOVE_ISOLATED);
    report.addMoveWithIsolatedVm(deployment, isolated, runBoth(deployment, isolated, withoutMove));
  }

  private static ResultPair runBoth(
      Deployment deployment, Scenario scenario, Scenario seedScenario) {
    long seed = SEED + seedScenario.name().hashCode();
    Set<String> neverTwice = Set.copyOf(deployment.rules().neverTwice());
    RunResult policy = new RunResult(neverTwice);
    RunResult naive = new RunResult(neverTwice);
    for (int run = 0; run < RUNS_PER_SCENARIO; run++) {
      List<Arrival> arrivals =
          Arrivals.generate(deployment, scenario, run, new SplittableRandom(seed + run));
      BenchRun.execute(deployment, scenario, true, arrivals, seed + run, policy);
      BenchRun.execute(deployment, scenario, false, arrivals, seed + run, naive);
    }
    return new ResultPair(policy, naive);
  }

  /**
   * Results of both sets of decisions with the same arrivals and faults.
   *
   * @param policy result with the policy classes
   * @param naive result with the naive policies
   */
  record ResultPair(RunResult policy, RunResult naive) {}
}
