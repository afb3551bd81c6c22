package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.ragwortpick.batch.StageInput;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.batch.StageTicket;
import org.ragwortpick.batch.StageWork;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.routing.RouteStage;

/**
 * Runs the stages of one request, each as soon as its inputs exist, and gives up results when all
 * that need them have run. Confined to the thread of the request.
 */
final class StageGraphRun {

  /** Bytes from which results are made where they are needed, or used where they were made. */
  private static final long LARGE_TRANSFER_BYTES = 100_000;

  private final CallerRequest request;
  private final String pieceKey;
  private final StagePlan plan;
  private final long answerMs;
  private final String answerDataCentre;
  private final ResultPlaces places;
  private final StageRunner runner;
  private final LongSupplier nowMs;
  private final Consumer<SubmissionEnd> whenEnded;
  private final StageTicket[] tickets;
  private final List<List<String>> handles = new ArrayList<>();
  private int unfinished;
  private boolean ended;

  /**
   * Creates the run; nothing is sent yet.
   *
   * @param request the request
   * @param pieceKey key of the pieces of stages without inputs
   * @param plan stages of the request
   * @param answerMs expected time from the last stage to the answer in milliseconds
   * @param answerDataCentre data centre of the upstream that will answer; empty if it is not known
   * @param places finds results
   * @param runner runs the stages
   * @param nowMs monotonic time in milliseconds
   * @param whenEnded receives the handles of the last stages, or the failure
   */
  StageGraphRun(
      CallerRequest request,
      String pieceKey,
      StagePlan plan,
      long answerMs,
      String answerDataCentre,
      ResultPlaces places,
      StageRunner runner,
      LongSupplier nowMs,
      Consumer<SubmissionEnd> whenEnded) {
    this.request = request;
    this.pieceKey = pieceKey;
    this.plan = plan;
    this.answerMs = answerMs;
    this.answerDataCentre = answerDataCentre;
    this.places = places;
    this.runner = runner;
    this.nowMs = nowMs;
    this.whenEnded = whenEnded;
    this.tickets = new StageTicket[plan.stages().size()];
  }

  /** Starts the stages that need no inputs. */
  void start() {
    for (int stage = 0; stage < plan.stages().size(); stage++) {
      handles.add(plan.counts().get(stage) == 0 ? List.of() : null);
      unfinished += plan.counts().get(stage) == 0 ? 0 : 1;
    }
    startReady();
  }

  private void startReady() {
    for (int stage = 0; stage < plan.stages().size() && !ended; stage++) {
      boolean waits = handles.get(stage) == null && tickets[stage] == null;
      if (waits && plan.stages().get(stage).after().stream().allMatch(this::isFinished)) {
        submit(stage);
      }
    }
  }

  private boolean isFinished(int stage) {
    return handles.get(stage) != null;
  }

  private void submit(int stage) {
    RouteStage description = plan.stages().get(stage);
    List<StageInput> inputs =
        description.after().stream().flatMap(before -> inputsOf(before).stream()).toList();
    long now = nowMs.getAsLong();
    int priority = request.priority();
    long behindMs =
        plan.followingMs(stage, service -> runner.expectedWaitMs(service, priority)) + answerMs;
    StageWork work =
        new StageWork(
            description.service(),
            request.id(),
            stage,
            plan.counts().get(stage),
            description.after().isEmpty() ? pieceKey : "",
            inputs,
            description.resultBytes(),
            request.deadlineAtMs() - now - plan.followingMs(stage, service -> 0),
            request.targetAtMs() - now - behindMs,
            priority,
            dataCentreOf(stage, inputs));
    tickets[stage] = runner.submit(work, end -> onEnd(stage, end));
  }

  /** Large results go where they are needed; a stage with large inputs goes where those are. */
  private String dataCentreOf(int stage, List<StageInput> inputs) {
    RouteStage description = plan.stages().get(stage);
    if (inputs.isEmpty()) {
      return description.resultBytes() >= LARGE_TRANSFER_BYTES ? answerDataCentre : "";
    }
    if (inputBytes(stage) * plan.counts().get(stage) < LARGE_TRANSFER_BYTES) {
      return "";
    }
    Map<String, List<String>> byService =
        inputs.stream()
            .collect(
                Collectors.groupingBy(
                    StageInput::service,
                    Collectors.mapping(StageInput::handle, Collectors.toList())));
    return places.mostBytes(Map.of(), byService);
  }

  /** Each piece of a stage fetches all results of the stages before it. */
  private long inputBytes(int stage) {
    return plan.stages().get(stage).after().stream()
        .mapToLong(before -> handles.get(before).size() * plan.stages().get(before).resultBytes())
        .sum();
  }

  /**
   * Returns the data centre that holds most of what the request needs.
   *
   * @return name of the data centre; empty if it is not known
   */
  String dataCentreOfResults() {
    Map<String, Long> bytes = new HashMap<>();
    Map<String, List<String>> byService = new HashMap<>();
    for (int stage : request.route().finalStages()) {
      RouteStage description = plan.stages().get(stage);
      bytes.merge(description.service(), description.resultBytes(), Math::max);
      byService
          .computeIfAbsent(description.service(), any -> new ArrayList<>())
          .addAll(handles.get(stage));
    }
    return places.mostBytes(bytes, byService);
  }

  private List<StageInput> inputsOf(int stage) {
    String service = plan.stages().get(stage).service();
    boolean exclusive = plan.followers(stage) == 1;
    return handles.get(stage).stream()
        .map(handle -> new StageInput(service, handle, exclusive))
        .toList();
  }

  private void onEnd(int stage, SubmissionEnd end) {
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
    plan.stages().get(stage).after().forEach(this::releaseIfUnneeded);
    if (unfinished == 0) {
      whenEnded.accept(new SubmissionEnd.Produced(lastHandles()));
    } else {
      startReady();
    }
  }

  private void releaseIfUnneeded(int stage) {
    if (plan.followers(stage) == 1) {
      // The collector of the only stage that needed the results has given them up.
      tickets[stage] = null;
      return;
    }
    for (int next = stage + 1; next < plan.stages().size(); next++) {
      if (plan.stages().get(next).after().contains(stage) && !isFinished(next)) {
        return;
      }
    }
    abandon(stage);
  }

  private List<String> lastHandles() {
    return request.route().finalStages().stream()
        .flatMap(stage -> handles.get(stage).stream())
        .toList();
  }

  /** Cancels what runs and gives up all results. */
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
