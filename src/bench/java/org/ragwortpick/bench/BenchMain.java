package org.ragwortpick.bench;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortpick.bench.Scenario.Fault;

/** Prints the measures of both versions as a table and as JSON lines. */
public final class BenchMain {

  private static final long SEED = 20_261_204;

  /** Each scenario runs with this many seeds, and the counts are added up. */
  private static final int RUNS = 3;

  private static final double STEADY_LOAD = 0.7;
  private static final double MOVE_LOAD = 0.5;

  private BenchMain() {}

  /**
   * Runs the bench.
   *
   * @param args {@code slopes} for the cost of decisions, {@code trace} for outcome counts
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("slopes")) {
      new Slopes().print();
      return;
    }
    boolean trace = args.length > 0 && args[0].equals("trace");
    Report report = new Report(trace);
    for (Deployment deployment : List.of(Deployment.komarnik(), Deployment.carga())) {
      run(deployment, report);
    }
    report.print();
  }

  private static void run(Deployment deployment, Report report) {
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
      Pair pair = pair(deployment, scenario, scenario);
      report.add(deployment, scenario, pair);
    }
    Scenario still = Scenario.of("move", MOVE_LOAD, Fault.NONE);
    Pair without = pair(deployment, still, still);
    Scenario move = Scenario.of("move", MOVE_LOAD, Fault.MOVE);
    report.addMove(deployment, move, pair(deployment, move, still), without);
    Scenario isolated = Scenario.of("move-isolated", MOVE_LOAD, Fault.MOVE_ISOLATED);
    report.addIsolated(deployment, isolated, pair(deployment, isolated, still));
  }

  private static Pair pair(Deployment deployment, Scenario scenario, Scenario sameArrivalsAs) {
    long seed = SEED + sameArrivalsAs.name().hashCode();
    Set<String> neverTwice = Set.copyOf(deployment.rules().neverTwice());
    RunResult policy = new RunResult(neverTwice);
    RunResult naive = new RunResult(neverTwice);
    for (int run = 0; run < RUNS; run++) {
      List<Arrival> arrivals =
          Arrivals.generate(deployment, scenario, run, new SplittableRandom(seed + run));
      BenchRun.execute(deployment, scenario, true, arrivals, seed + run, policy);
      BenchRun.execute(deployment, scenario, false, arrivals, seed + run, naive);
    }
    return new Pair(policy, naive);
  }

  /**
   * Results of the same arrivals and faults.
   *
   * @param policy result of the policy classes
   * @param naive result of the naive ones
   */
  record Pair(RunResult policy, RunResult naive) {}
}
