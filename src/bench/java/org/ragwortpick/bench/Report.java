package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.ragwortpick.bench.BenchMain.Pair;
import org.ragwortpick.config.Stage;

/** Collects measures and prints them. */
final class Report {

  private final boolean trace;
  private final List<Line> lines = new ArrayList<>();

  private record Line(
      String measure, String scenario, double policy, double naive, boolean higherIsBetter) {

    private String verdict() {
      int order = higherIsBetter ? Double.compare(policy, naive) : Double.compare(naive, policy);
      return order > 0 ? "ahead" : order == 0 ? "equal" : "BEHIND";
    }
  }

  /**
   * Creates an empty report.
   *
   * @param trace whether to print the outcome counts of each run
   */
  Report(boolean trace) {
    this.trace = trace;
  }

  /**
   * Adds the measures of a scenario.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param pair results of both versions
   */
  void add(Deployment deployment, Scenario scenario, Pair pair) {
    String name = name(deployment, scenario);
    trace(name, pair);
    higher("attainment", name, pair, RunResult::attainment);
    if (scenario.burstWorkspace() >= 0) {
      higher("attainment of the first workspace", name, pair, r -> r.attainment("w1"));
      higher("attainment of the last workspace", name, pair, r -> r.attainment("w5"));
    }
    for (Stage stage : deployment.pipeline().stages()) {
      lower(
          "attempts per answer, " + stage.name(),
          name,
          pair,
          r -> r.attemptsPerAnswer(stage.name()));
    }
    lower("attempts per answer, call", name, pair, r -> r.attemptsPerAnswer("call"));
    lower("tokens per answered token", name, pair, RunResult::tokensPerAnswerToken);
    lower("repeated non-idempotent executions", name, pair, RunResult::repeatedExecutions);
    boolean cold =
        scenario.fault() == Scenario.Fault.COLD_START
            || scenario.fault() == Scenario.Fault.SILENT_COLD;
    if (cold) {
      lower("requests beyond a cold limit", name, pair, RunResult::coldOverloads);
    }
    if (scenario.fault() == Scenario.Fault.COLD_START) {
      lower("peak load of a cold upstream", name, pair, RunResult::peakColdLoad);
    }
  }

  /**
   * Adds the measures of a move.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param move results with the move
   * @param without results of the same arrivals without the move
   */
  void addMove(Deployment deployment, Scenario scenario, Pair move, Pair without) {
    String name = name(deployment, scenario);
    trace(name, move);
    trace(name + " (without move)", without);
    higher("attainment", name, move, RunResult::attainment);
    higher("attainment", name + " (without move)", without, RunResult::attainment);
    lines.add(
        new Line(
            "points lost by the move",
            name,
            100 * (without.policy().attainment() - move.policy().attainment()),
            100 * (without.naive().attainment() - move.naive().attainment()),
            false));
    lower("work sent after the take-out bound", name, move, RunResult::sentAfterBound);
    lower("tokens per answered token", name, move, RunResult::tokensPerAnswerToken);
  }

  /**
   * Adds the measures of a move beside an isolated VM.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param pair results of both versions
   */
  void addIsolated(Deployment deployment, Scenario scenario, Pair pair) {
    String name = name(deployment, scenario);
    trace(name, pair);
    higher("attainment", name, pair, RunResult::attainment);
    lower("work sent after the take-out bound", name, pair, RunResult::sentAfterBound);
  }

  /** Prints a table and then one JSON line for each measure. */
  void print() {
    System.out.printf(
        Locale.ROOT, "%-36s %-30s %10s %10s  %s%n", "measure", "scenario", "policy", "naive", "");
    for (Line line : lines) {
      System.out.printf(
          Locale.ROOT,
          "%-36s %-30s %10.4f %10.4f  %s%n",
          line.measure,
          line.scenario,
          line.policy,
          line.naive,
          line.verdict());
    }
    for (Line line : lines) {
      System.out.printf(
          Locale.ROOT,
          "{\"measure\":\"%s\",\"scenario\":\"%s\",\"policy\":%.4f,\"naive\":%.4f,"
              + "\"better\":\"%s\"}%n",
          line.measure,
          line.scenario,
          line.policy,
          line.naive,
          line.higherIsBetter ? "higher" : "lower");
    }
  }

  private static String name(Deployment deployment, Scenario scenario) {
    return deployment.name() + "/" + scenario.name();
  }

  private void trace(String name, Pair pair) {
    if (trace) {
      System.out.println(name + " policy " + pair.policy().describe());
      System.out.println(name + " naive  " + pair.naive().describe());
    }
  }

  private void higher(String measure, String name, Pair pair, ToDoubleFunction<RunResult> value) {
    add(measure, name, pair, value, true);
  }

  private void lower(String measure, String name, Pair pair, ToDoubleFunction<RunResult> value) {
    add(measure, name, pair, value, false);
  }

  private void add(
      String measure,
      String name,
      Pair pair,
      ToDoubleFunction<RunResult> value,
      boolean higherIsBetter) {
    double policy = value.applyAsDouble(pair.policy());
    double naive = value.applyAsDouble(pair.naive());
    lines.add(new Line(measure, name, policy, naive, higherIsBetter));
  }
}
