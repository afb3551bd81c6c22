package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.RequestResult;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.error.RequestErrors;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;

/** Run of one request: admission, then the stages in order, all under one deadline. */
public final class PipelineRun {

  private static final Logger LOG = Logger.getLogger(PipelineRun.class);
  private static final String ADMISSION_STAGE = "admission";
  private static final TokenReceiver NO_TOKENS = (offset, text) -> {};

  private final Pipeline pipeline;
  private final StageTaskFactory taskFactory;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final AdmissionController admission;
  private final RequestReceiver receiver;
  private final List<StageCost> costs = new ArrayList<>();
  private final long startedAtMs;
  private Timers.Timer admissionTimer = () -> {};
  private StageRun currentStage;
  private boolean admitted;
  private boolean mayHaveRun;
  private boolean finished;

  /**
   * Creates a run.
   *
   * @param pipeline pipeline to run
   * @param taskFactory creates the tasks of the stages
   * @param request the request
   * @param dependencies components that all requests share
   * @param admission admission of requests of this kind
   * @param receiver receiver of the tokens of the last stage and of the result
   */
  public PipelineRun(
      Pipeline pipeline,
      StageTaskFactory taskFactory,
      RequestContext request,
      EntryDependencies dependencies,
      AdmissionController admission,
      RequestReceiver receiver) {
    this.pipeline = pipeline;
    this.taskFactory = taskFactory;
    this.request = request;
    this.dependencies = dependencies;
    this.admission = admission;
    this.receiver = receiver;
    this.startedAtMs = dependencies.clock().millis();
  }

  /**
   * Starts the run.
   *
   * @param input input of the first stage
   */
  public void start(JsonNode input) {
    dependencies.metrics().requestStarted();
    request.serialExecutor().onFailure(() -> end(internalError()));
    request.serialExecutor().execute(() -> requestAdmission(input));
  }

  /** Ends the run because the caller closed its connection. Work at upstreams is cancelled. */
  public void cancel() {
    request.serialExecutor().execute(() -> end(Either.left(new RequestError.CallerGone())));
  }

  private void requestAdmission(JsonNode input) {
    if (!dependencies.workGate().mayStartWork()) {
      end(Either.left(new RequestError.Draining()));
      return;
    }
    if (endIfRefused(0)) {
      return;
    }
    admissionTimer =
        dependencies
            .timers()
            .schedule(
                request.deadlineAtMs() - startedAtMs,
                () ->
                    request
                        .serialExecutor()
                        .execute(
                            () ->
                                end(
                                    Either.left(
                                        new RequestError.DeadlineMissed(ADMISSION_STAGE)))));
    long startUntilMs =
        request.deadlineAtMs()
            - dependencies.policies().deadlineBudget().estimateRemainingMs(pipeline, 0);
    admission
        .admit(new AdmissionRequest(request.workspace(), startUntilMs))
        .whenComplete(
            (granted, failure) ->
                request
                    .serialExecutor()
                    .execute(() -> onAdmission(failure == null && granted, input)));
  }

  private void onAdmission(boolean granted, JsonNode input) {
    admissionTimer.cancel();
    if (finished) {
      if (granted) {
        admission.release(request.workspace());
      }
      return;
    }
    admitted = granted;
    if (granted) {
      startStage(0, input);
    } else {
      end(Either.left(new RequestError.Overloaded()));
    }
  }

  private boolean endIfRefused(int index) {
    RequestError refusal = refusal(index);
    if (refusal != null) {
      end(Either.left(refusal));
    }
    return refusal != null;
  }

  private RequestError refusal(int index) {
    long remainingMs = request.deadlineAtMs() - dependencies.clock().millis();
    String stage = pipeline.stages().get(index).name();
    if (!dependencies.configurationView().isInForce()) {
      return new RequestError.NotInForce();
    }
    if (remainingMs <= 0) {
      return new RequestError.DeadlineMissed(stage);
    }
    if (!dependencies.policies().deadlineBudget().canFinish(pipeline, index, remainingMs)) {
      return new RequestError.DeadlineTooShort(stage);
    }
    return null;
  }

  private void startStage(int index, JsonNode input) {
    if (finished || endIfRefused(index)) {
      return;
    }
    long remainingMs = request.deadlineAtMs() - dependencies.clock().millis();
    boolean isLast = index == pipeline.stages().size() - 1;
    currentStage =
        new StageRun(
            taskFactory.createTask(index, input),
            dependencies.policies().deadlineBudget().stageBudgetMs(pipeline, index, remainingMs),
            request,
            dependencies,
            isLast ? receiver : NO_TOKENS,
            result -> onStageEnd(index, result));
    currentStage.start();
  }

  private void onStageEnd(int index, StageResult result) {
    currentStage = null;
    costs.add(result.cost());
    mayHaveRun |= result.mayHaveRun();
    dependencies.metrics().stageEnded(pipeline.name(), result.cost());
    if (finished) {
      return;
    }
    boolean isLast = index == pipeline.stages().size() - 1;
    if (result.response().isRight()) {
      dependencies.policies().deadlineBudget().recordStage(pipeline, index, result.cost().ms());
    }
    if (result.response().isLeft() || isLast) {
      end(result.response());
    } else {
      startStage(index + 1, result.response().get().output());
    }
  }

  private void end(Either<RequestError, StageResponse> response) {
    if (finished) {
      return;
    }
    finished = true;
    admissionTimer.cancel();
    Either<RequestError, StageResponse> reported =
        cancelCurrentStage() ? response : internalError();
    if (admitted) {
      admission.release(request.workspace());
    }
    long nowMs = dependencies.clock().millis();
    dependencies
        .metrics()
        .requestEnded(
            pipeline.name(),
            request.workspace(),
            reported.fold(RequestErrors::kind, ok -> "ok"),
            nowMs - startedAtMs,
            reported.isRight() && nowMs <= request.deadlineAtMs());
    receiver.onEnd(new RequestResult(reported, costs, mayHaveRun));
  }

  /**
   * Cancels the running stage. Returns false if an invariant failed, so that the run still ends.
   */
  private boolean cancelCurrentStage() {
    try {
      if (currentStage != null) {
        currentStage.cancel();
      }
      Invariants.check(currentStage == null, "a request ended while a stage was running");
      return true;
    } catch (IllegalStateException e) {
      LOG.error("cancelling the running stage failed; the request ends with an internal error", e);
      return false;
    }
  }

  private static Either<RequestError, StageResponse> internalError() {
    return Either.left(new RequestError.Internal());
  }
}
