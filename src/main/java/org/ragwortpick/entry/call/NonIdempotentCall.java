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
 * Run of one non-idempotent call: begin, dispatch at most once, record the outcome, answer.
 *
 * <p>The answer to the caller and the run are separate: at the deadline the caller is told what is
 * known, and the run goes on until the outcome is recorded. A caller that closes its connection
 * therefore changes nothing. All methods but {@link #start} run on the serial executor.
 */
public final class NonIdempotentCall implements CallDispatch.Owner {

  /** Name of the only stage of a service call. */
  public static final String STAGE = "call";

  private static final long BEGIN_RETRY_MS = 50;
  private static final long STATUS_FIRST_POLL_MS = 20;
  private static final long STATUS_MAX_POLL_MS = 200;

  /** Time before the deadline that is left to commit NOT_RUN after begin went unanswered. */
  private static final long ABANDON_RESERVE_MS = 500;

  /** Time after the lease within which an outcome is still reported. */
  private static final long REPORT_GRACE_MS = 10_000;

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
  private Optional<RecordedAnswer> answer = Optional.empty();
  private boolean replied;
  private boolean admitted;
  private boolean countedAsWork;

  /**
   * Creates a run.
   *
   * @param call the call
   * @param request the request; its identity is that of the attempt
   * @param dependencies what all requests share
   * @param ledger execution records
   * @param vm name of the local VM
   * @param receiver receiver of what the caller is told, called once
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
    request.serial().onFailure(this::onInternalError);
    request.serial().execute(this::askAdmission);
  }

  private void askAdmission() {
    deadlineTimer = schedule(request.deadlineAtMs() - startedAtMs, this::onDeadline);
    long remainingMs = request.deadlineAtMs() - startedAtMs;
    beginUntilMs = request.deadlineAtMs() - Math.min(ABANDON_RESERVE_MS, remainingMs / 4);
    recorder =
        new OutcomeRecorder(ledger, request, dependencies, startedAtMs + leaseMs + REPORT_GRACE_MS);
    if (!dependencies.gate().mayStartWork()) {
      abandon(new RequestError.Draining());
      return;
    }
    if (!dependencies.view().isInForce()) {
      // A VM without confirmed configuration often cannot reach the records either. The caller is
      // told soon, so that it can ask another VM within its deadline.
      schedule(dependencies.settings().ledgerTryMs(), this::replyUnknown);
      abandon(new RequestError.NotInForce());
      return;
    }
    dependencies
        .policies()
        .callAdmission()
        .admit(new AdmissionRequest(call.key().workspace(), beginUntilMs))
        .whenComplete(
            (granted, failure) ->
                request.serial().execute(() -> onAdmission(failure == null && granted)));
  }

  private void onAdmission(boolean granted) {
    admitted = granted;
    if (!granted) {
      abandon(new RequestError.Overloaded());
      return;
    }
    phase = Phase.BEGIN;
    // The lease counts from the first sending, since any of the repeated requests may be granted.
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
        .begin(begin, Math.min(dependencies.settings().ledgerTryMs(), beginUntilMs - nowMs))
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result -> {
              span.end();
              request.serial().execute(() -> onBegin(result, leaseEndsAtMs));
            });
  }

  private void onBegin(Either<LedgerError, BeginResult> result, long leaseEndsAtMs) {
    if (result.isLeft() && result.getLeft() instanceof LedgerError.Unreachable) {
      schedule(BEGIN_RETRY_MS, () -> begin(leaseEndsAtMs));
      return;
    }
    DispatchStep step = attempt.onBegin(result);
    if (step instanceof DispatchStep.Dispatch) {
      Invariants.check(phase == Phase.BEGIN, "a call was granted that was given up before");
      phase = Phase.DISPATCH;
      dispatch =
          new CallDispatch(call, request, dependencies, attempt, leaseEndsAtMs, beginUntilMs, this);
      dispatch.start();
    } else if (step instanceof DispatchStep.Begin) {
      begin(leaseEndsAtMs);
    } else if (step instanceof DispatchStep.Finish) {
      abandon(new RequestError.CallNotRun());
    } else if (result.isLeft()) {
      replyError(result.getLeft());
      close();
    } else {
      releaseAdmission();
      phase = Phase.WAIT;
      onOtherRecord(result.get().record(), STATUS_FIRST_POLL_MS);
    }
  }

  private void onOtherRecord(ExecutionRecord record, long pollMs) {
    if (record.state() != ExecutionState.PENDING) {
      replyRecord(record);
      close();
    } else if (replied) {
      close();
    } else {
      schedule(pollMs, () -> pollStatus(Math.min(STATUS_MAX_POLL_MS, pollMs * 2)));
    }
  }

  private void pollStatus(long nextPollMs) {
    if (replied) {
      close();
      return;
    }
    ledger
        .status(call.key(), dependencies.settings().ledgerTryMs())
        .exceptionally(failure -> Either.left(new LedgerError.Unreachable()))
        .thenAccept(
            result ->
                request
                    .serial()
                    .execute(
                        () -> {
                          if (result.isRight() && result.get().isPresent()) {
                            onOtherRecord(result.get().get(), nextPollMs);
                          } else {
                            schedule(nextPollMs, () -> pollStatus(nextPollMs));
                          }
                        }));
  }

  @Override
  public void onAnswer(RecordedAnswer recorded) {
    releaseAdmission();
    phase = Phase.RECORD;
    answer = Optional.of(recorded);
    recorder.record(
        attempt.onUpstreamResponse(recorded.status(), recorded.body()),
        decided -> {
          reply(Either.right(recorded), ExecutionOutcome.DONE);
          close();
        });
  }

  @Override
  public void onLost() {
    releaseAdmission();
    phase = Phase.RECORD;
    replyUnknown();
    recorder.record(attempt.onUpstreamResponseLost(), decided -> close());
  }

  @Override
  public void onNotDispatched() {
    abandon(new RequestError.NoUpstream(STAGE, call.service()));
  }

  /** Commits that this attempt never dispatches. Only then is the caller told "not run". */
  private void abandon(RequestError error) {
    releaseAdmission();
    phase = Phase.RECORD;
    recorder.record(
        attempt.abandon(),
        decided -> {
          if (decided.isRight() && decided.get().state() == ExecutionState.NOT_RUN) {
            reply(Either.left(error), ExecutionOutcome.NOT_RUN);
          } else if (decided.isRight()) {
            replyRecord(decided.get());
          } else if (decided.getLeft() instanceof LedgerError.NotHolder) {
            // The key was used before, so what became of that attempt is the answer.
            phase = Phase.WAIT;
            pollStatus(STATUS_FIRST_POLL_MS);
            return;
          } else {
            replyError(decided.getLeft());
          }
          close();
        });
  }

  private void onDeadline() {
    if (answer.isPresent()) {
      reply(Either.right(answer.get()), ExecutionOutcome.DONE);
    } else {
      replyUnknown();
    }
  }

  private void onInternalError() {
    if (phase != Phase.CLOSED) {
      replyUnknown();
      close();
    }
  }

  private void replyRecord(ExecutionRecord record) {
    switch (record.state()) {
      case DONE ->
          reply(
              Either.right(new RecordedAnswer(record.status(), record.answer())),
              ExecutionOutcome.DONE);
      case NOT_RUN -> reply(Either.left(new RequestError.CallNotRun()), ExecutionOutcome.NOT_RUN);
      case EXPIRED -> replyError(new LedgerError.KeyExpired());
      default -> replyUnknown();
    }
  }

  private void replyError(LedgerError error) {
    if (error instanceof LedgerError.KeyReused) {
      reply(Either.left(new RequestError.IdempotencyKeyReused()), ExecutionOutcome.NOT_RUN);
    } else if (error instanceof LedgerError.KeyExpired) {
      reply(Either.left(new RequestError.IdempotencyKeyExpired()), ExecutionOutcome.UNKNOWN);
    } else {
      replyUnknown();
    }
  }

  private void replyUnknown() {
    reply(Either.left(new RequestError.OutcomeUnknown()), ExecutionOutcome.UNKNOWN);
  }

  private void reply(Either<RequestError, RecordedAnswer> result, ExecutionOutcome execution) {
    if (replied) {
      return;
    }
    replied = true;
    deadlineTimer.cancel();
    long nowMs = dependencies.clock().millis();
    StageCost cost =
        new StageCost(
            STAGE,
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
      // From here on the exchange no longer counts as work, but the record may need some.
      dependencies.work().enter();
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
      dependencies.work().exit();
    }
  }

  private void releaseAdmission() {
    if (admitted) {
      admitted = false;
      dependencies.policies().callAdmission().release(call.key().workspace());
    }
  }

  private Timers.Timer schedule(long delayMs, Runnable action) {
    return dependencies.timers().schedule(delayMs, () -> request.serial().execute(action));
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
