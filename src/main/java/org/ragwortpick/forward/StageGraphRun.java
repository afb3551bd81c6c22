package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpick.batch.StageInput;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.batch.StageTicket;
import org.ragwortpick.batch.StageWork;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.routing.RouteStage;
import org.ragwortpick.routing.RoutedWorkspace;

/**
 * Runs the stages of one request, each as soon as its inputs exist, and releases results once all
 * stages that need them have run. Confined to the thread of the request.
 */
final class StageGraphRun {

  /**
   * Size from which results are produced in the data centre that needs them, or stages run in the
   * data centre that holds their inputs.
   */
  private static final long LARGE_TRANSFER_BYTES = 100_000;

  /** A refusal is sent within the latency objective divided by this number. */
  private static final long REFUSAL_DIVISOR = 8;

  /** Time in which the refusal of a collector reaches the caller. */
  private static final long REFUSAL_MARGIN_MS = 20;

  private final CallerRequest request;
  private final String pieceKey;
  private final StageGraph graph;
  private final boolean resumed;
  private final long targetAtMs;
  private final long responseMs;
  private final String responseDataCentre;
  private final ResultLocator resultLocator;
  private final StageRunner runner;
  private final boolean overloadControl;
  private final LongSupplier nowMs;
  private final Consumer<SubmissionEnd> whenEnded;
  private final StageTicket[] tickets;
  private final List<List<String>> handles = new ArrayList<>();
  private int unfinished;
  private boolean ended;

  /**
   * Creates the run without starting a stage.
   *
   * @param request the request
   * @param pieceKey key of the pieces of stages without inputs
   * @param graph stages of the request
   * @param resumed whether the request takes up a stream that has begun; its first event has come,
   *     so that its deadline takes the place of the target latency
   * @param responseMs expected time from the last stage to the response in milliseconds
   * @param responseDataCentre data centre of the upstream that will probably run the request; empty
   *     if it is not known
   * @param resultLocator locates results
   * @param runner runs the stages
   * @param overloadControl whether collectors decide by the whole path of the request
   * @param nowMs returns the monotonic time in milliseconds
   * @param whenEnded receives the handles of the last stages, or the failure
   */
  StageGraphRun(
      CallerRequest request,
      String pieceKey,
      StageGraph graph,
      boolean resumed,
      long responseMs,
      String responseDataCentre,
      ResultLocator resultLocator,
      StageRunner runner,
      boolean overloadControl,
      LongSupplier nowMs,
      Consumer<SubmissionEnd> whenEnded) {
    this.request = request;
    this.pieceKey = pieceKey;
    this.graph = graph;
    this.resumed = resumed;
    this.targetAtMs = resumed ? request.deadlineAtMs() : request.targetAtMs();
    this.responseMs = responseMs;
    this.responseDataCentre = responseDataCentre;
    this.resultLocator = resultLocator;
    this.runner = runner;
    this.overloadControl = overloadControl;
    this.nowMs = nowMs;
    this.whenEnded = whenEnded;
    this.tickets = new StageTicket[graph.stages().size()];
  }

  /** Starts the stages that need no inputs. */
  void start() {
    for (int stage = 0; stage < graph.stages().size(); stage++) {
      handles.add(graph.pieceCounts().get(stage) == 0 ? List.of() : null);
      unfinished += graph.pieceCounts().get(stage) == 0 ? 0 : 1;
    }
    startReady();
  }

  private void startReady() {
    for (int stage = 0; stage < graph.stages().size() && !ended; stage++) {
      boolean pending = handles.get(stage) == null && tickets[stage] == null;
      if (pending && graph.stages().get(stage).after().stream().allMatch(this::isFinished)) {
        submit(stage);
      }
    }
  }

  private boolean isFinished(int stage) {
    return handles.get(stage) != null;
  }

  private void submit(int stage) {
    RouteStage routeStage = graph.stages().get(stage);
    List<StageInput> inputs =
        routeStage.after().stream().flatMap(preceding -> inputsOf(preceding).stream()).toList();
    long submittedAtMs = nowMs.getAsLong();
    int priority = request.priority();
    // Under overload control the collector estimates the waits of later stages itself; a stream
    // that
    // is taken up goes before the work that waits.
    long followingMs =
        graph.followingMs(
                stage,
                service ->
                    overloadControl || resumed ? 0 : runner.expectedWaitMs(service, priority))
            + responseMs;
    StageWork work =
        new StageWork(
            routeStage.service(),
            request.id(),
            stage,
            graph.pieceCounts().get(stage),
            routeStage.after().isEmpty() ? pieceKey : "",
            inputs,
            routeStage.resultBytes(),
            request.deadlineAtMs() - submittedAtMs - graph.followingMs(stage, service -> 0),
            targetAtMs - submittedAtMs - followingMs,
            priority,
            preferredDataCentre(stage, inputs),
            resumed,
            overloadControl ? Optional.of(path(stage, submittedAtMs)) : Optional.empty());
    tickets[stage] = runner.submit(work, end -> onStageEnded(stage, end));
  }

  private RequestPath path(int stage, long nowAtMs) {
    long decideAtMs =
        request.arrivedAtMs()
            + request.route().targetLatencyMs() / REFUSAL_DIVISOR
            - REFUSAL_MARGIN_MS;
    return new RequestPath(
        request.workspace().map(RoutedWorkspace::name).orElse(""),
        Math.max(0, decideAtMs - nowAtMs),
        targetAtMs - nowAtMs,
        responseMs,
        graph.following(stage));
  }

  /**
   * A stage without inputs and with large results prefers the data centre that needs them; a stage
   * with large inputs prefers the data centre that holds them.
   */
  private String preferredDataCentre(int stage, List<StageInput> inputs) {
    RouteStage routeStage = graph.stages().get(stage);
    if (inputs.isEmpty()) {
      return routeStage.resultBytes() >= LARGE_TRANSFER_BYTES ? responseDataCentre : "";
    }
    if (inputBytes(stage) * graph.pieceCounts().get(stage) < LARGE_TRANSFER_BYTES) {
      return "";
    }
    Map<String, List<String>> byService =
        inputs.stream()
            .collect(
                Collectors.groupingBy(
                    StageInput::service,
                    Collectors.mapping(StageInput::handle, Collectors.toList())));
    return resultLocator.dataCentreWithMostBytes(Map.of(), byService);
  }

  /** Returns the size of the inputs of one piece, which are all results of the preceding stages. */
  private long inputBytes(int stage) {
    return graph.stages().get(stage).after().stream()
        .mapToLong(
            preceding ->
                handles.get(preceding).size() * graph.stages().get(preceding).resultBytes())
        .sum();
  }

  /**
   * Returns the data centre that holds the most bytes of the results that the request needs.
   *
   * @return name of the data centre; empty if it is not known
   */
  String dataCentreOfResults() {
    Map<String, Long> bytes = new HashMap<>();
    Map<String, List<String>> byService = new HashMap<>();
    for (int stage : request.route().finalStages()) {
      RouteStage routeStage = graph.stages().get(stage);
      bytes.merge(routeStage.service(), routeStage.resultBytes(), Math::max);
      byService
          .computeIfAbsent(routeStage.service(), key -> new ArrayList<>())
          .addAll(handles.get(stage));
    }
    return resultLocator.dataCentreWithMostBytes(bytes, byService);
  }

  private List<StageInput> inputsOf(int stage) {
    String service = graph.stages().get(stage).service();
    boolean exclusive = graph.followerCount(stage) == 1;
    return handles.get(stage).stream()
        .map(handle -> new StageInput(service, handle, exclusive))
        .toList();
  }

  private void onStageEnded(int stage, SubmissionEnd end) {
    if (ended) {
      return;
    }
    if (end instanceof SubmissionEnd.Failed) {
      abandon();
      whenEnded.accept(end);
      return;
    }
    handles.set(stage, ((SubmissionEnd.Produced) end).handles());
    unfinished--;
    graph.stages().get(stage).after().forEach(this::releaseIfUnneeded);
    if (unfinished == 0) {
      whenEnded.accept(new SubmissionEnd.Produced(handlesOfLastStages()));
    } else {
      startReady();
    }
  }

  private void releaseIfUnneeded(int stage) {
    if (graph.followerCount(stage) == 1) {
      // The collector of the only stage that needed the results has released them.
      tickets[stage] = null;
      return;
    }
    for (int next = stage + 1; next < graph.stages().size(); next++) {
      if (graph.stages().get(next).after().contains(stage) && !isFinished(next)) {
        return;
      }
    }
    abandon(stage);
  }

  private List<String> handlesOfLastStages() {
    return request.route().finalStages().stream()
        .flatMap(stage -> handles.get(stage).stream())
        .toList();
  }

  /** Cancels the running stages and releases all results. */
  void abandon() {
    ended = true;
    for (int stage = 0; stage < tickets.length; stage++) {
      abandon(stage);
    }
  }

  private void abandon(int stage) {
    if (tickets[stage] != null) {
      tickets[stage].abandon();
    }
  }
}
