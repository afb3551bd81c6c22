package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.ragwortpick.bench.BenchMain.ResultPair;
import org.ragwortpick.config.Stage;

/** Collects the measures of all scenarios and prints them as a table and as JSON lines. */
final class Report {

  private final boolean printsOutcomes;
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
   * @param printsOutcomes whether to print the outcome counts of each scenario
   */
  Report(boolean printsOutcomes) {
    this.printsOutcomes = printsOutcomes;
  }

  /**
   * Adds the measures of a scenario.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param pair results of both sets of decisions
   */
  void add(Deployment deployment, Scenario scenario, ResultPair pair) {
    String name = scenarioLabel(deployment, scenario);
    printsOutcomes(name, pair);
    addHigherIsBetter("attainment", name, pair, RunResult::attainment);
    if (scenario.burstWorkspace() >= 0) {
      addHigherIsBetter("attainment of the first workspace", name, pair, r -> r.attainment("w1"));
      addHigherIsBetter("attainment of the last workspace", name, pair, r -> r.attainment("w5"));
    }
    for (Stage stage : deployment.pipeline().stages()) {
      addLowerIsBetter(
          "attempts per answer, " + stage.name(),
          name,
          pair,
          r -> r.attemptsPerAnswer(stage.name()));
    }
    addLowerIsBetter("attempts per answer, call", name, pair, r -> r.attemptsPerAnswer("call"));
    addLowerIsBetter("tokens per answered token", name, pair, RunResult::tokensPerAnswerToken);
    addLowerIsBetter(
        "repeated non-idempotent executions", name, pair, RunResult::repeatedExecutions);
    boolean cold =
        scenario.fault() == Scenario.Fault.COLD_START
            || scenario.fault() == Scenario.Fault.SILENT_COLD;
    if (cold) {
      addLowerIsBetter("requests beyond a cold limit", name, pair, RunResult::coldOverloads);
    }
    if (scenario.fault() == Scenario.Fault.COLD_START) {
      addLowerIsBetter("peak load of a cold upstream", name, pair, RunResult::peakColdLoad);
    }
  }

  /**
   * Adds the measures of a scenario in which a data centre is taken out and returned.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param withMove results with the take-out
   * @param withoutMove results of the same arrivals without the take-out
   */
  void addMove(
      Deployment deployment, Scenario scenario, ResultPair withMove, ResultPair withoutMove) {
    String name = scenarioLabel(deployment, scenario);
    printsOutcomes(name, withMove);
    printsOutcomes(name + " (without move)", withoutMove);
    addHigherIsBetter("attainment", name, withMove, RunResult::attainment);
    addHigherIsBetter("attainment", name + " (without move)", withoutMove, RunResult::attainment);
    lines.add(
        new Line(
            "points lost by the move",
            name,
            100 * (withoutMove.policy().attainment() - withMove.policy().attainment()),
            100 * (withoutMove.naive().attainment() - withMove.naive().attainment()),
            false));
    addLowerIsBetter(
        "work sent after the take-out bound", name, withMove, RunResult::sentAfterTakeOutBound);
    addLowerIsBetter("tokens per answered token", name, withMove, RunResult::tokensPerAnswerToken);
  }

  /**
   * Adds the measures of a take-out during which one entry VM is isolated.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param pair results of both sets of decisions
   */
  void addMoveWithIsolatedVm(Deployment deployment, Scenario scenario, ResultPair pair) {
    String name = scenarioLabel(deployment, scenario);
    printsOutcomes(name, pair);
    addHigherIsBetter("attainment", name, pair, RunResult::attainment);
    addLowerIsBetter(
        "work sent after the take-out bound", name, pair, RunResult::sentAfterTakeOutBound);
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

  private static String scenarioLabel(Deployment deployment, Scenario scenario) {
    return deployment.name() + "/" + scenario.name();
  }

  private void printsOutcomes(String name, ResultPair pair) {
    if (printsOutcomes) {
      System.out.println(name + " policy " + pair.policy().describe());
      System.out.println(name + " naive  " + pair.naive().describe());
    }
  }

  private void addHigherIsBetter(
      String measure, String name, ResultPair pair, ToDoubleFunction<RunResult> value) {
    add(measure, name, pair, value, true);
  }

  private void addLowerIsBetter(
      String measure, String name, ResultPair pair, ToDoubleFunction<RunResult> value) {
    add(measure, name, pair, value, false);
  }

  private void add(
      String measure,
      String name,
      ResultPair pair,
      ToDoubleFunction<RunResult> value,
      boolean higherIsBetter) {
    double policy = value.applyAsDouble(pair.policy());
    double naive = value.applyAsDouble(pair.naive());
    lines.add(new Line(measure, name, policy, naive, higherIsBetter));
  }
}
