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
import org.ragwortpick.standin.UpstreamStandIn;

/**
 * Sends the requests of a plan on a fixed schedule that does not depend on the responses (open
 * loop), and checks that each response is complete and belongs to its request.
 */
public final class LoadRun {

  /** Time in milliseconds after the last deadline in which outstanding requests may still end. */
  private static final long COMPLETION_GRACE_MS = 2_000;

  private final LoadPlan plan;
  private final List<Caller> callers;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final String runId;
  private final LoadResults results = new LoadResults();
  private final AtomicInteger endedCount = new AtomicInteger();
  private volatile long startMs;
  private final CompletableFuture<LoadResults> resultsFuture = new CompletableFuture<>();

  /**
   * Creates a run.
   *
   * @param plan requests to send
   * @param callers callers, used in turn
   * @param clock monotonic clock
   * @param executor executor of the schedule
   * @param runId prefix that makes the markers of this run unique
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
   * Schedules all requests.
   *
   * @return the results, complete when all requests have ended or the grace time has elapsed
   */
  public CompletableFuture<LoadResults> start() {
    startMs = clock.millis();
    for (int i = 0; i < plan.requestCount(); i++) {
      int number = i;
      long dueMs = 1_000L * i / plan.requestsPerSecond();
      executor.schedule(() -> send(number, startMs + dueMs), dueMs, TimeUnit.MILLISECONDS);
    }
    executor.schedule(
        () -> resultsFuture.complete(results),
        plan.durationMs() + plan.deadlineMs() + COMPLETION_GRACE_MS,
        TimeUnit.MILLISECONDS);
    return resultsFuture;
  }

  private void send(int number, long dueAtMs) {
    boolean isCall = !plan.services().isEmpty() && number % plan.requestsPerCall() == 0;
    Caller caller = callers.get(number % callers.size());
    String workspace = plan.workspaces().get(number % plan.workspaces().size());
    String marker = runId + "-" + number;
    long deadlineAtMs = dueAtMs + plan.deadlineMs();
    results.increment("sent");
    CompletableFuture<Boolean> complete =
        isCall
            ? sendCall(caller, workspace, marker, deadlineAtMs, number)
            : sendPipelineRequest(caller, workspace, marker, deadlineAtMs, number);
    complete.whenComplete(
        (isComplete, failure) -> recordEnd(workspace, dueAtMs, deadlineAtMs, isComplete, failure));
  }

  private CompletableFuture<Boolean> sendPipelineRequest(
      Caller caller, String workspace, String marker, long deadlineAtMs, int number) {
    String name = plan.pipelines().get(number % plan.pipelines().size());
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.putObject("input").put("marker", marker);
    String harmful = plan.isHarmful(number) ? UpstreamStandIn.HARMFUL_PROMPT + " " : "";
    body.put("prompt", harmful + "prompt of " + workspace);
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
    if (!outcome.isOk()) {
      results.increment("refused " + outcome.body().path("error").asText("no answer"));
      return false;
    }
    results.recordCost(outcome.body());
    boolean complete = ResponseCheck.isComplete(outcome.body(), marker, plan.maxTokens());
    if (!complete) {
      results.increment("wrong answers");
    }
    return complete;
  }

  private CompletableFuture<Boolean> sendCall(
      Caller caller, String workspace, String marker, long deadlineAtMs, int number) {
    int index = number / plan.requestsPerCall() % plan.services().size();
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
    String executionOutcome = Caller.executionOutcome(outcome);
    results.recordCall(marker, executionOutcome);
    results.increment("calls " + executionOutcome);
    if (outcome.isOk() && !marker.equals(RequestMarker.find(outcome.body()))) {
      results.increment("wrong answers");
      return false;
    }
    return outcome.isOk();
  }

  private void recordEnd(
      String workspace, long dueAtMs, long deadlineAtMs, Boolean complete, Throwable failure) {
    long nowMs = clock.millis();
    boolean inTime = failure == null && complete && nowMs <= deadlineAtMs;
    results.increment(inTime ? "in time" : "missed");
    results.recordDeadlineMet((dueAtMs - startMs) / 1_000, inTime);
    results.increment((inTime ? "in time " : "missed ") + workspace);
    if (failure == null && complete) {
      results.recordLatency(nowMs - dueAtMs);
    }
    if (endedCount.incrementAndGet() == plan.requestCount()) {
      resultsFuture.complete(results);
    }
  }
}
