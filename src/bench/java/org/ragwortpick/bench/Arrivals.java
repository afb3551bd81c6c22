package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Stage;

/** Generates the arrivals of a scenario, which both sets of decisions then receive. */
final class Arrivals {

  private static final double[] STAGE_WORK_MS = {10, 25, 30, 180};
  private static final double SLOW_ATTEMPT_PROBABILITY = 0.01;
  private static final int SLOW_ATTEMPT_BITS = 8;
  private static final int MAX_ARRIVALS_PER_RUN = 1_000_000;
  private static final int PREFIX_COUNT = 60;
  private static final int MIN_TOKENS = 20;
  private static final int TOKEN_RANGE = 50;
  private static final double PLAIN_CALL_WORK_MS = 50;
  private static final double MS_PER_SECOND = 1_000;
  private static final long PLAIN_CALL_DEADLINE_MS = 1_500;

  private final Deployment deployment;
  private final int runNumber;
  private final RandomGenerator random;
  private final List<Arrival> arrivals = new ArrayList<>();

  private Arrivals(Deployment deployment, int runNumber, RandomGenerator random) {
    this.deployment = deployment;
    this.runNumber = runNumber;
    this.random = random;
  }

  /**
   * Generates the arrivals of a scenario.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param runNumber number of the run, which makes request ids unique over all runs
   * @param random source of random numbers
   * @return arrivals, sorted by time
   */
  static List<Arrival> generate(
      Deployment deployment, Scenario scenario, int runNumber, RandomGenerator random) {
    Arrivals generator = new Arrivals(deployment, runNumber, random);
    double requestsPerSecond = deployment.fullRatePerSecond() * scenario.load();
    for (int workspace = 0; workspace < Deployment.WORKSPACE_SHARE_PERCENT.length; workspace++) {
      double share = Deployment.WORKSPACE_SHARE_PERCENT[workspace] / 100.0;
      boolean bursts = workspace == scenario.burstWorkspace();
      generator.addPoissonArrivals(workspace, requestsPerSecond * share, 0, scenario.lengthMs());
      if (bursts) {
        generator.addPoissonArrivals(
            workspace,
            deployment.fullRatePerSecond() * scenario.burstFactor(),
            scenario.burstFromMs(),
            scenario.burstToMs());
      }
    }
    generator.arrivals.sort(Comparator.comparingDouble(Arrival::atMs));
    return generator.arrivals;
  }

  private void addPoissonArrivals(
      int workspace, double requestsPerSecond, double fromMs, double toMs) {
    double atMs = fromMs;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) * MS_PER_SECOND / requestsPerSecond;
      if (atMs >= toMs) {
        return;
      }
      arrivals.add(pipelineRequest(workspace, atMs));
      if (random.nextInt(100) < Deployment.PLAIN_CALL_PERCENT) {
        arrivals.add(plainCall(workspace, atMs));
      }
    }
  }

  private Arrival pipelineRequest(int workspace, double atMs) {
    double[] workMs = new double[STAGE_WORK_MS.length];
    for (int i = 0; i < workMs.length; i++) {
      workMs[i] = STAGE_WORK_MS[i] * (0.6 + 0.8 * random.nextDouble());
    }
    int tokens = MIN_TOKENS + random.nextInt(TOKEN_RANGE);
    // Squaring makes low prefix numbers far more common than high ones.
    double popularity = random.nextDouble();
    long prefix = 1 + (long) (PREFIX_COUNT * popularity * popularity);
    return createArrival(workspace, atMs, deployment.pipeline(), workMs, tokens, prefix);
  }

  private Arrival plainCall(int workspace, double atMs) {
    List<Service> plainServices =
        deployment.inventory().services().stream()
            .filter(service -> service.kind() == ServiceKind.PLAIN)
            .toList();
    String service = plainServices.get(random.nextInt(plainServices.size())).name();
    Pipeline pipeline =
        new Pipeline(
            "call-" + service, PLAIN_CALL_DEADLINE_MS, List.of(new Stage("call", service, 0)));
    double[] workMs = {PLAIN_CALL_WORK_MS * (0.6 + 0.8 * random.nextDouble())};
    return createArrival(workspace, atMs, pipeline, workMs, 0, 0);
  }

  private int[] drawSlowAttempts(int stageCount) {
    int[] slowAttempts = new int[stageCount];
    for (int stage = 0; stage < stageCount; stage++) {
      for (int attempt = 0; attempt < SLOW_ATTEMPT_BITS; attempt++) {
        slowAttempts[stage] |= random.nextDouble() < SLOW_ATTEMPT_PROBABILITY ? 1 << attempt : 0;
      }
    }
    return slowAttempts;
  }

  private Arrival createArrival(
      int workspace, double atMs, Pipeline pipeline, double[] workMs, int tokens, long prefix) {
    int entryVm = random.nextInt(Deployment.ENTRY_VMS);
    String workspaceName = "w" + (workspace + 1);
    return new Arrival(
        runNumber * MAX_ARRIVALS_PER_RUN + arrivals.size(),
        atMs,
        entryVm,
        workspaceName,
        pipeline,
        workMs,
        tokens,
        drawSlowAttempts(workMs.length),
        prefix);
  }
}
