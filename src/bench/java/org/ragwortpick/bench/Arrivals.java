package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Stage;

/** Generator of arrivals that are the same for both versions. */
final class Arrivals {

  private static final double[] STAGE_WORK_MS = {10, 25, 30, 180};
  private static final double SLOW_PROBABILITY = 0.01;
  private static final int MAX_ATTEMPTS = 8;
  private static final int MAX_ARRIVALS = 1_000_000;
  private static final int PREFIXES = 60;
  private static final int MIN_TOKENS = 20;
  private static final int MORE_TOKENS = 50;
  private static final double CALL_WORK_MS = 50;
  private static final double MS_PER_SECOND = 1_000;
  private static final long CALL_DEADLINE_MS = 1_500;

  private final Deployment deployment;
  private final int run;
  private final RandomGenerator random;
  private final List<Arrival> arrivals = new ArrayList<>();

  private Arrivals(Deployment deployment, int run, RandomGenerator random) {
    this.deployment = deployment;
    this.run = run;
    this.random = random;
  }

  /**
   * Generates the arrivals of a scenario.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param run number of the run, so that numbers of requests differ between runs
   * @param random source of random numbers
   * @return arrivals in order of time
   */
  static List<Arrival> generate(
      Deployment deployment, Scenario scenario, int run, RandomGenerator random) {
    Arrivals generator = new Arrivals(deployment, run, random);
    double rate = deployment.fullRate() * scenario.load();
    for (int w = 0; w < Deployment.WORKSPACE_PERCENT.length; w++) {
      double share = Deployment.WORKSPACE_PERCENT[w] / 100.0;
      boolean bursts = w == scenario.burstWorkspace();
      generator.add(w, rate * share, 0, scenario.lengthMs());
      if (bursts) {
        generator.add(
            w,
            deployment.fullRate() * scenario.burstFactor(),
            scenario.burstFromMs(),
            scenario.burstToMs());
      }
    }
    generator.arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
    return generator.arrivals;
  }

  private void add(int workspace, double perSecond, double fromMs, double toMs) {
    double atMs = fromMs;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / perSecond;
      if (atMs >= toMs) {
        return;
      }
      arrivals.add(pipelineRequest(workspace, atMs));
      if (random.nextInt(100) < Deployment.CALL_PERCENT) {
        arrivals.add(call(workspace, atMs));
      }
    }
  }

  private Arrival pipelineRequest(int workspace, double atMs) {
    double[] workMs = new double[STAGE_WORK_MS.length];
    for (int i = 0; i < workMs.length; i++) {
      workMs[i] = STAGE_WORK_MS[i] * (0.6 + 0.8 * random.nextDouble());
    }
    int tokens = MIN_TOKENS + random.nextInt(MORE_TOKENS);
    // Squaring makes some prefixes far more common than others.
    double popularity = random.nextDouble();
    long prefix = 1 + (long) (PREFIXES * popularity * popularity);
    return arrival(workspace, atMs, deployment.pipeline(), workMs, tokens, prefix);
  }

  private Arrival call(int workspace, double atMs) {
    List<Service> plain =
        deployment.inventory().services().stream()
            .filter(service -> service.kind() == ServiceKind.PLAIN)
            .toList();
    String service = plain.get(random.nextInt(plain.size())).name();
    Pipeline pipeline =
        new Pipeline("call-" + service, CALL_DEADLINE_MS, List.of(new Stage("call", service, 0)));
    double[] workMs = {CALL_WORK_MS * (0.6 + 0.8 * random.nextDouble())};
    return arrival(workspace, atMs, pipeline, workMs, 0, 0);
  }

  private int[] slow(int stages) {
    int[] slow = new int[stages];
    for (int stage = 0; stage < stages; stage++) {
      for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        slow[stage] |= random.nextDouble() < SLOW_PROBABILITY ? 1 << attempt : 0;
      }
    }
    return slow;
  }

  private Arrival arrival(
      int workspace, double atMs, Pipeline pipeline, double[] workMs, int tokens, long prefix) {
    int vm = random.nextInt(Deployment.ENTRY_VMS);
    String name = "w" + (workspace + 1);
    return new Arrival(
        run * MAX_ARRIVALS + arrivals.size(),
        atMs,
        vm,
        name,
        pipeline,
        workMs,
        tokens,
        slow(workMs.length),
        prefix);
  }
}
