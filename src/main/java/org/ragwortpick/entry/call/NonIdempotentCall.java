package org.ragwortpick.entry.call;

import io.opentelemetry.api.trace.Span;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.error.RequestErrors;
import org.ragwortpick.ledger.BeginRequest;
import org.ragwortpick.ledger.BeginResult;
import org.ragwortpick.ledger.DispatchAttempt;
import org.ragwortpick.ledger.DispatchStep;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.ExecutionRecord;
import org.ragwortpick.ledger.ExecutionState;
import org.ragwortpick.ledger.LedgerError;
import org.ragwortpick.policy.AdmissionRequest;

/**
 * Run of one non-idempotent call: begin, dispatch at most once, record the outcome, respond.
 *
 * <p>The response to the caller does not end the run: at the deadline the caller receives the
 * outcome known so far, and the run continues until the outcome is recorded. Closing the caller
 * connection therefore has no effect. All methods but {@link #start} run on the serial executor.
 */
public final class NonIdempotentCall implements CallDispatch.Owner {

  /** Name of the only stage of a service call. */
  public static final String STAGE_NAME = "call";

  private static final long BEGIN_RETRY_INTERVAL_MS = 50;
  private static final long FIRST_STATUS_POLL_INTERVAL_MS = 20;
  private static final long MAX_STATUS_POLL_INTERVAL_MS = 200;

  /** Time before the deadline reserved for committing NOT_RUN if begin got no reply. */
  private static final long NOT_RUN_COMMIT_RESERVE_MS = 500;

  /** Time after the end of the lease during which reports of the outcome are retried. */
  private static final long REPORT_RETRY_PERIOD_MS = 10_000;

  private final CallRequest call;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final ExecutionLedger ledger;
  private final Consumer<CallResult> receiver;
  private final long startedAtMs;
  private final long leaseMs;
  private final DispatchAttempt attempt;
  private Timers.Timer deadlineTimer = () -> {};
  private long beginUntilMs;
  private OutcomeRecorder recorder;
  private CallDispatch dispatch;
  private Phase phase = Phase.ADMISSION;
  private Optional<RecordedResponse> response = Optional.empty();
  private boolean responded;
  private boolean admitted;
  private boolean countedAsWork;

  /**
   * Creates a run.
   *
   * @param call the call
   * @param request the request; its id is the id of the attempt
   * @param dependencies components that all requests share
   * @param ledger ledger of the execution records
   * @param vm name of the local VM
   * @param receiver receiver of the result for the caller, called once
   */
  public NonIdempotentCall(
      CallRequest call,
      RequestContext request,
      EntryDependencies dependencies,
      ExecutionLedger ledger,
      String vm,
      Consumer<CallResult> receiver) {
    this.call = call;
    this.request = request;
    this.dependencies = dependencies;
    this.ledger = ledger;
    this.receiver = receiver;
    this.startedAtMs = dependencies.clock().millis();
    this.leaseMs = request.deadlineAtMs() - startedAtMs + dependencies.settings().leaseMarginMs();
    this.attempt =
        new DispatchAttempt(
            new BeginRequest(
                call.key(),
                call.service(),
                call.bodyDigest(),
                vm,
                request.requestId(),
                leaseMs,
                call.keyCreatedAtMs()),
            dependencies.clock());
  }

  /** Starts the run. */
  public void start() {
    dependencies.metrics().requestStarted();
    request.serialExecutor().onFailure(this::onInternalError);
    request.serialExecutor().execute(this::requestAdmission);
  }

  private void requestAdmission() {
    deadlineTimer = schedule(request.deadlineAtMs() - startedAtMs, this::onDeadline);
    long remainingMs = request.deadlineAtMs() - startedAtMs;
    beginUntilMs = request.deadlineAtMs() - Math.min(NOT_RUN_COMMIT_RESERVE_MS, remainingMs / 4);
    recorder =
        new OutcomeRecorder(
            ledger, request, dependencies, startedAtMs + leaseMs + REPORT_RETRY_PERIOD_MS);
    if (!dependencies.workGate().mayStartWork()) {
      abandon(new RequestError.Draining());
      return;
    }
    if (!dependencies.configurationView().isInForce()) {
      // A VM without a confirmed configuration often cannot reach the ledger either. It responds
      // early, so that the caller can use another VM within its deadline.
      schedule(dependencies.settings().ledgerTimeoutMs(), this::respondUnknown);
      abandon(new RequestError.NotInForce());
      return;
    }
    dependencies
        .policies()
        .callAdmission()
        .admit(new AdmissionRequest(call.key().workspace(), beginUntilMs))
        .whenComplete(
            (granted, failure) ->
                request.serialExecutor().execute(() -> onAdmission(failure == null && granted)));
  }

  private void onAdmission(boolean granted) {
    admitted = granted;
    if (!granted) {
      abandon(new RequestError.Overloaded());
      return;
    }
    phase = Phase.BEGIN;
    // The lease counts from the first begin request, since any of the retries may be granted.
    begin(dependencies.clock().millis() + leaseMs);
  }

  private void begin(long leaseEndsAtMs) {
    long nowMs = dependencies.clock().millis();
    if (nowMs >= beginUntilMs) {
      abandon(new RequestError.CallNotRun());
      return;
    }
    BeginRequest begin = attempt.begin();
    Span span = dependencies.tracer().startHop(request.span(), "begin");
    ledger
        .begin(begin, Math.min(dependencies.settings().ledgerTimeoutMs(), beginUntilMs - nowMs))
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result -> {
              span.end();
              request.serialExecutor().execute(() -> onBegin(result, leaseEndsAtMs));
            });
  }

  private void onBegin(Either<LedgerError, BeginResult> result, long leaseEndsAtMs) {
    if (result.isLeft() && result.getLeft() instanceof LedgerError.Unreachable) {
      schedule(BEGIN_RETRY_INTERVAL_MS, () -> begin(leaseEndsAtMs));
      return;
    }
    DispatchStep step = attempt.onBegin(result);
    if (step instanceof DispatchStep.Dispatch) {
      Invariants.check(phase == Phase.BEGIN, "a call was granted after it was abandoned");
      phase = Phase.DISPATCH;
      dispatch =
          new CallDispatch(call, request, dependencies, attempt, leaseEndsAtMs, beginUntilMs, this);
      dispatch.start();
    } else if (step instanceof DispatchStep.Begin) {
      begin(leaseEndsAtMs);
    } else if (step instanceof DispatchStep.Finish) {
      abandon(new RequestError.CallNotRun());
    } else if (result.isLeft()) {
      respondWithError(result.getLeft());
      close();
    } else {
      releaseAdmission();
      phase = Phase.WAIT;
      onRecordOfOtherAttempt(result.get().record(), FIRST_STATUS_POLL_INTERVAL_MS);
    }
  }

  private void onRecordOfOtherAttempt(ExecutionRecord record, long pollIntervalMs) {
    if (record.state() != ExecutionState.PENDING) {
      respondWithRecord(record);
      close();
    } else if (responded) {
      close();
    } else {
      schedule(
          pollIntervalMs,
          () -> pollStatus(Math.min(MAX_STATUS_POLL_INTERVAL_MS, pollIntervalMs * 2)));
    }
  }

  private void pollStatus(long nextPollIntervalMs) {
    if (responded) {
      close();
      return;
    }
    ledger
        .status(call.key(), dependencies.settings().ledgerTimeoutMs())
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result ->
                request
                    .serialExecutor()
                    .execute(
                        () -> {
                          if (result.isRight() && result.get().isPresent()) {
                            onRecordOfOtherAttempt(result.get().get(), nextPollIntervalMs);
                          } else {
                            schedule(nextPollIntervalMs, () -> pollStatus(nextPollIntervalMs));
                          }
                        }));
  }

  @Override
  public void onResponse(RecordedResponse received) {
    releaseAdmission();
    phase = Phase.RECORD;
    response = Optional.of(received);
    recorder.record(
        attempt.onUpstreamResponse(received.status(), received.body()),
        decision -> {
          respond(Either.right(received), ExecutionOutcome.DONE);
          close();
        });
  }

  @Override
  public void onResponseLost() {
    releaseAdmission();
    phase = Phase.RECORD;
    respondUnknown();
    recorder.record(attempt.onUpstreamResponseLost(), decision -> close());
  }

  @Override
  public void onNotDispatched() {
    abandon(new RequestError.NoUpstream(STAGE_NAME, call.service()));
  }

  /** Commits that this attempt never dispatches. The caller gets "not run" only after that. */
  private void abandon(RequestError error) {
    releaseAdmission();
    phase = Phase.RECORD;
    recorder.record(
        attempt.abandon(),
        decision -> {
          if (decision.isRight() && decision.get().state() == ExecutionState.NOT_RUN) {
            respond(Either.left(error), ExecutionOutcome.NOT_RUN);
          } else if (decision.isRight()) {
            respondWithRecord(decision.get());
          } else if (decision.getLeft() instanceof LedgerError.NotHolder) {
            // Another attempt holds the key, so its outcome is the response.
            phase = Phase.WAIT;
            pollStatus(FIRST_STATUS_POLL_INTERVAL_MS);
            return;
          } else {
            respondWithError(decision.getLeft());
          }
          close();
        });
  }

  private void onDeadline() {
    if (response.isPresent()) {
      respond(Either.right(response.get()), ExecutionOutcome.DONE);
    } else {
      respondUnknown();
    }
  }

  private void onInternalError() {
    if (phase != Phase.CLOSED) {
      respondUnknown();
      close();
    }
  }

  private void respondWithRecord(ExecutionRecord record) {
    switch (record.state()) {
      case DONE ->
          respond(
              Either.right(new RecordedResponse(record.status(), record.responseBody())),
              ExecutionOutcome.DONE);
      case NOT_RUN -> respond(Either.left(new RequestError.CallNotRun()), ExecutionOutcome.NOT_RUN);
      case EXPIRED -> respondWithError(new LedgerError.KeyExpired());
      default -> respondUnknown();
    }
  }

  private void respondWithError(LedgerError error) {
    if (error instanceof LedgerError.KeyReused) {
      respond(Either.left(new RequestError.IdempotencyKeyReused()), ExecutionOutcome.NOT_RUN);
    } else if (error instanceof LedgerError.KeyExpired) {
      respond(Either.left(new RequestError.IdempotencyKeyExpired()), ExecutionOutcome.UNKNOWN);
    } else {
      respondUnknown();
    }
  }

  private void respondUnknown() {
    respond(Either.left(new RequestError.OutcomeUnknown()), ExecutionOutcome.UNKNOWN);
  }

  private void respond(Either<RequestError, RecordedResponse> result, ExecutionOutcome execution) {
    if (responded) {
      return;
    }
    responded = true;
    deadlineTimer.cancel();
    long nowMs = dependencies.clock().millis();
    StageCost cost =
        new StageCost(
            STAGE_NAME,
            call.service(),
            dispatch == null ? 0 : dispatch.attempts(),
            0,
            0,
            nowMs - startedAtMs);
    dependencies.metrics().stageEnded(call.service(), cost);
    dependencies
        .metrics()
        .requestEnded(
            call.service(),
            call.key().workspace(),
            result.fold(RequestErrors::kind, ok -> "ok"),
            nowMs - startedAtMs,
            result.isRight() && nowMs <= request.deadlineAtMs());
    if (phase != Phase.CLOSED) {
      // The exchange no longer counts as work, but the outcome may still have to be recorded.
      dependencies.workCounter().enter();
      countedAsWork = true;
    }
    receiver.accept(new CallResult(result, execution, cost));
  }

  private void close() {
    if (phase == Phase.CLOSED) {
      return;
    }
    phase = Phase.CLOSED;
    releaseAdmission();
    if (countedAsWork) {
      dependencies.workCounter().exit();
    }
  }

  private void releaseAdmission() {
    if (admitted) {
      admitted = false;
      dependencies.policies().callAdmission().release(call.key().workspace());
    }
  }

  private Timers.Timer schedule(long delayMs, Runnable action) {
    return dependencies.timers().schedule(delayMs, () -> request.serialExecutor().execute(action));
  }

  private enum Phase {
    ADMISSION,
    BEGIN,
    DISPATCH,
    WAIT,
    RECORD,
    CLOSED
  }
}
