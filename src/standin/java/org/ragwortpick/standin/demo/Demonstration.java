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
 * entry VMs, and compares what callers were told with what the stand-ins executed.
 */
public final class Demonstration {

  private static final int CALLERS = 12;
  private static final long TAKE_OUT_AT_MS = 8_000;

  /** Stated bound after which a data centre that was taken out receives no new work. */
  private static final long NO_WORK_AFTER_MS = 5_000;

  private static final long OUT_OBSERVED_MS = 5_000;

  /** Time in milliseconds in which restarted upstreams have announced themselves. */
  private static final long RESTARTED_KNOWN_AFTER_MS = 1_500;

  private static final long TWICE_AT_MS = 4_000;

  /** Second of the run in which the data centre is taken out. */
  static final long TAKE_OUT_SECOND = TAKE_OUT_AT_MS / 1_000;

  /** Second of the run in which the data centre returns. */
  static final long RETURN_SECOND =
      (TAKE_OUT_AT_MS + NO_WORK_AFTER_MS + OUT_OBSERVED_MS + RESTARTED_KNOWN_AFTER_MS) / 1_000;

  private static final String TWICE_MARKER = "sent-twice";

  private final DemonstrationPlan plan;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final HttpClient client;
  private final HttpJson http;

  /**
   * Creates a demonstration.
   *
   * @param plan what to do
   * @param clock monotonic clock
   * @param executor executor of the schedule
   */
  public Demonstration(DemonstrationPlan plan, Clock clock, ScheduledExecutorService executor) {
    this.plan = plan;
    this.clock = clock;
    this.executor = executor;
    this.client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    this.http = new HttpJson(client);
  }

  /**
   * Runs the demonstration.
   *
   * @return what was observed
   * @throws InterruptedException if the thread is interrupted
   * @throws ExecutionException if a step failed
   */
  public DemonstrationResult run() throws InterruptedException, ExecutionException {
    List<Caller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new Caller(client, clock, plan.callers(), i));
    }
    CompletableFuture<LoadResults> load =
        new LoadRun(plan.load(), callers, clock, executor, "run").start();
    CompletableFuture<List<String>> twice = after(TWICE_AT_MS, this::sendTwice);
    CompletableFuture<Long> workAfterTakeOut = takeOutAndReturn();
    LoadResults results = load.get();
    return new DemonstrationResult(
        results,
        twice.get(),
        workAfterTakeOut.get(),
        UpstreamReports.read(http, plan.upstreams()),
        TWICE_MARKER);
  }

  private CompletableFuture<Long> takeOutAndReturn() {
    String path = "/admin/v1/data-centres/" + plan.dataCentre();
    return after(
            TAKE_OUT_AT_MS,
            () -> http.post(plan.admin(), path + "/take-out", "{\"requestId\":\"demo-out\"}"))
        .thenCompose(answer -> requireRevision(answer))
        .thenCompose(done -> after(NO_WORK_AFTER_MS, this::executed))
        .thenCompose(
            before ->
                after(OUT_OBSERVED_MS, this::executed).thenApply(executed -> executed - before))
        .thenCompose(work -> after(0, () -> restartUpstreams(work)))
        .thenCompose(
            work ->
                after(
                        RESTARTED_KNOWN_AFTER_MS,
                        () ->
                            http.post(
                                plan.admin(), path + "/return", "{\"requestId\":\"demo-in\"}"))
                    .thenCompose(answer -> requireRevision(answer))
                    .thenApply(done -> work));
  }

  private static CompletableFuture<Void> requireRevision(JsonNode answer) {
    return answer.has("revision")
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(
            new IllegalStateException("the operator request was not accepted: " + answer));
  }

  /** Restarts the upstreams of the data centre, so that they are cold when it returns. */
  private long restartUpstreams(long work) {
    plan.upstreams().stream()
        .filter(spec -> spec.dataCentre().equals(plan.dataCentre()))
        .forEach(spec -> http.post(spec.address(), "/stand-in/faults/rejoin", "{}"));
    return work;
  }

  private long executed() {
    return UpstreamReports.read(http, plan.upstreams()).executedIn(plan.dataCentre());
  }

  private List<String> sendTwice() {
    Caller caller = new Caller(client, clock, plan.callers(), 0);
    Map<String, String> headers =
        Map.of("Workspace", plan.load().workspaces().get(0), "Idempotency-Key", TWICE_MARKER);
    String body = "{\"marker\":\"" + TWICE_MARKER + "\"}";
    String path = "/v1/services/" + plan.bookingService();
    List<CompletableFuture<String>> answers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      answers.add(
          caller
              .sendTo(plan.callers().get(i), path, headers, body, plan.load().deadlineMs())
              .thenApply(Caller::told));
    }
    return answers.stream().map(CompletableFuture::join).toList();
  }

  private <T> CompletableFuture<T> after(long delayMs, java.util.function.Supplier<T> step) {
    return CompletableFuture.supplyAsync(
        step, CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, executor));
  }
}
