package org.ragwortpick.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpClient;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.standin.load.Caller;
import org.ragwortpick.standin.load.LoadResults;
import org.ragwortpick.standin.load.LoadRun;

/**
 * Sends requests while a data centre is taken out and returned, sends one call twice through two
 * entry VMs, and compares the outcomes that callers observed with the executions of the stand-ins.
 */
public final class Demonstration {

  private static final int CALLER_COUNT = 12;
  private static final long TAKE_OUT_AT_MS = 8_000;

  /** Guaranteed bound in milliseconds: a data centre gets no new work this long after take-out. */
  private static final long TAKE_OUT_BOUND_MS = 5_000;

  /** Time in milliseconds during which the data centre is checked for new work. */
  private static final long OUT_OBSERVATION_MS = 5_000;

  /** Time in milliseconds after which every restarted upstream has been announced. */
  private static final long ANNOUNCEMENT_WAIT_MS = 1_500;

  private static final long DUPLICATE_CALL_AT_MS = 4_000;

  /** Second of the run in which the data centre is taken out. */
  static final long TAKE_OUT_SECOND = TAKE_OUT_AT_MS / 1_000;

  /** Second of the run in which the data centre returns. */
  static final long RETURN_SECOND =
      (TAKE_OUT_AT_MS + TAKE_OUT_BOUND_MS + OUT_OBSERVATION_MS + ANNOUNCEMENT_WAIT_MS) / 1_000;

  private static final String DUPLICATE_CALL_MARKER = "sent-twice";

  private final DemonstrationPlan plan;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final HttpClient client;
  private final JsonHttpClient http;

  /**
   * Creates a demonstration.
   *
   * @param plan targets and load of the demonstration
   * @param clock monotonic clock
   * @param executor executor of the schedule
   */
  public Demonstration(DemonstrationPlan plan, Clock clock, ScheduledExecutorService executor) {
    this.plan = plan;
    this.clock = clock;
    this.executor = executor;
    this.client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    this.http = new JsonHttpClient(client);
  }

  /**
   * Runs the demonstration.
   *
   * @return observations and the load results
   * @throws InterruptedException if the thread is interrupted
   * @throws ExecutionException if a step failed
   */
  public DemonstrationResult run() throws InterruptedException, ExecutionException {
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < CALLER_COUNT; i++) {
      callers.add(new Caller(client, clock, plan.callers(), i));
    }
    CompletableFuture<LoadResults> load =
        new LoadRun(plan.load(), callers, clock, executor, "run").start();
    CompletableFuture<List<String>> duplicateCallOutcomes =
        schedule(DUPLICATE_CALL_AT_MS, this::sendDuplicateCall);
    CompletableFuture<Long> callsAfterTakeOut = takeOutAndReturn();
    LoadResults results = load.get();
    return new DemonstrationResult(
        results,
        duplicateCallOutcomes.get(),
        callsAfterTakeOut.get(),
        UpstreamReports.read(http, plan.upstreams()),
        DUPLICATE_CALL_MARKER);
  }

  private CompletableFuture<Long> takeOutAndReturn() {
    String path = "/admin/v1/data-centres/" + plan.dataCentre();
    return schedule(
            TAKE_OUT_AT_MS,
            () -> http.post(plan.admin(), path + "/take-out", "{\"requestId\":\"demo-out\"}"))
        .thenCompose(response -> requireRevision(response))
        .thenCompose(done -> schedule(TAKE_OUT_BOUND_MS, this::executedInDataCentre))
        .thenCompose(
            before ->
                schedule(OUT_OBSERVATION_MS, this::executedInDataCentre)
                    .thenApply(executed -> executed - before))
        .thenCompose(callsAfterTakeOut -> schedule(0, () -> restartUpstreams(callsAfterTakeOut)))
        .thenCompose(
            callsAfterTakeOut ->
                schedule(
                        ANNOUNCEMENT_WAIT_MS,
                        () ->
                            http.post(
                                plan.admin(), path + "/return", "{\"requestId\":\"demo-in\"}"))
                    .thenCompose(response -> requireRevision(response))
                    .thenApply(done -> callsAfterTakeOut));
  }

  private static CompletableFuture<Void> requireRevision(JsonNode response) {
    return response.has("revision")
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(
            new IllegalStateException("operator request was not accepted, response: " + response));
  }

  /** Restarts the upstreams of the data centre, so that they are in cold start at its return. */
  private long restartUpstreams(long callsAfterTakeOut) {
    plan.upstreams().stream()
        .filter(spec -> spec.dataCentre().equals(plan.dataCentre()))
        .forEach(spec -> http.post(spec.address(), "/stand-in/faults/rejoin", "{}"));
    return callsAfterTakeOut;
  }

  private long executedInDataCentre() {
    return UpstreamReports.read(http, plan.upstreams()).executedIn(plan.dataCentre());
  }

  private List<String> sendDuplicateCall() {
    Caller caller = new Caller(client, clock, plan.callers(), 0);
    Map<String, String> headers =
        Map.of(
            "Workspace", plan.load().workspaces().get(0), "Idempotency-Key", DUPLICATE_CALL_MARKER);
    String body = "{\"marker\":\"" + DUPLICATE_CALL_MARKER + "\"}";
    String path = "/v1/services/" + plan.bookingService();
    List<CompletableFuture<String>> outcomes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      outcomes.add(
          caller
              .sendTo(plan.callers().get(i), path, headers, body, plan.load().deadlineMs())
              .thenApply(Caller::executionOutcome));
    }
    return outcomes.stream().map(CompletableFuture::join).toList();
  }

  private <T> CompletableFuture<T> schedule(long delayMs, java.util.function.Supplier<T> step) {
    return CompletableFuture.supplyAsync(
        step, CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, executor));
  }
}
