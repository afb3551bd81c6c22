package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.common.Json;
import org.ragwortpick.standin.RequestMarker;

/**
 * Sends the requests of a plan on a fixed schedule, whatever the answers do, and checks that each
 * answer is whole and belongs to its request.
 */
public final class LoadRun {

  /** Time in milliseconds for the last requests to end after their deadline. */
  private static final long GRACE_MS = 2_000;

  private final LoadPlan plan;
  private final List<Caller> callers;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final String runId;
  private final LoadResults results = new LoadResults();
  private final AtomicInteger ended = new AtomicInteger();
  private volatile long startMs;
  private final CompletableFuture<LoadResults> finished = new CompletableFuture<>();

  /**
   * Creates a run.
   *
   * @param plan requests to send
   * @param callers callers that take turns
   * @param clock monotonic clock
   * @param executor executor of the schedule
   * @param runId text that makes the markers of this run unique
   */
  public LoadRun(
      LoadPlan plan,
      List<Caller> callers,
      Clock clock,
      ScheduledExecutorService executor,
      String runId) {
    this.plan = plan;
    this.callers = List.copyOf(callers);
    this.clock = clock;
    this.executor = executor;
    this.runId = runId;
  }

  /**
   * Starts to send.
   *
   * @return the results after the last request has ended
   */
  public CompletableFuture<LoadResults> start() {
    startMs = clock.millis();
    for (int i = 0; i < plan.requests(); i++) {
      int number = i;
      long dueMs = 1_000L * i / plan.requestsPerSecond();
      executor.schedule(() -> send(number, startMs + dueMs), dueMs, TimeUnit.MILLISECONDS);
    }
    executor.schedule(
        () -> finished.complete(results),
        plan.durationMs() + plan.deadlineMs() + GRACE_MS,
        TimeUnit.MILLISECONDS);
    return finished;
  }

  private void send(int number, long dueAtMs) {
    boolean isCall = !plan.services().isEmpty() && number % plan.callEvery() == 0;
    Caller caller = callers.get(number % callers.size());
    String workspace = plan.workspaces().get(number % plan.workspaces().size());
    String marker = runId + "-" + number;
    long deadlineAtMs = dueAtMs + plan.deadlineMs();
    results.count("sent");
    CompletableFuture<Boolean> whole =
        isCall
            ? call(caller, workspace, marker, deadlineAtMs, number)
            : pipeline(caller, workspace, marker, deadlineAtMs, number);
    whole.whenComplete((ok, failure) -> end(workspace, dueAtMs, deadlineAtMs, ok, failure));
  }

  private CompletableFuture<Boolean> pipeline(
      Caller caller, String workspace, String marker, long deadlineAtMs, int number) {
    String name = plan.pipelines().get(number % plan.pipelines().size());
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.putObject("input").put("marker", marker);
    body.put("prompt", "prompt of " + workspace);
    body.put("maxTokens", plan.maxTokens());
    return caller
        .send(
            "/v1/pipelines/" + name,
            Map.of("Workspace", workspace, "Request-Id", marker),
            body.toString(),
            deadlineAtMs,
            true)
        .thenApply(outcome -> checkPipeline(outcome, marker));
  }

  private boolean checkPipeline(Outcome outcome, String marker) {
    if (!outcome.isAnswered()) {
      results.count("refused " + outcome.body().path("error").asText("no answer"));
      return false;
    }
    results.recordCost(outcome.body());
    boolean own = AnswerCheck.isWhole(outcome.body(), marker, plan.maxTokens());
    if (!own) {
      results.count("wrong answers");
    }
    return own;
  }

  private CompletableFuture<Boolean> call(
      Caller caller, String workspace, String marker, long deadlineAtMs, int number) {
    int index = number / plan.callEvery() % plan.services().size();
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("marker", marker);
    return caller
        .send(
            "/v1/services/" + plan.services().get(index),
            Map.of("Workspace", workspace, "Idempotency-Key", marker),
            body.toString(),
            deadlineAtMs,
            false)
        .thenApply(outcome -> checkCall(outcome, marker));
  }

  private boolean checkCall(Outcome outcome, String marker) {
    String told = Caller.told(outcome);
    results.recordCall(marker, told);
    results.count("calls " + told);
    if (outcome.isAnswered() && !marker.equals(RequestMarker.find(outcome.body()))) {
      results.count("wrong answers");
      return false;
    }
    return outcome.isAnswered();
  }

  private void end(
      String workspace, long dueAtMs, long deadlineAtMs, Boolean whole, Throwable failure) {
    long nowMs = clock.millis();
    boolean inTime = failure == null && whole && nowMs <= deadlineAtMs;
    results.count(inTime ? "in time" : "missed");
    results.recordSecond((dueAtMs - startMs) / 1_000, inTime);
    results.count((inTime ? "in time " : "missed ") + workspace);
    if (failure == null && whole) {
      results.recordLatency(nowMs - dueAtMs);
    }
    if (ended.incrementAndGet() == plan.requests()) {
      finished.complete(results);
    }
  }
}
