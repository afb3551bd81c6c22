package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.Optional;
import org.ragwortpick.common.StateChart;

/**
 * Decisions of one attempt to run a non-idempotent call on an entry VM: when it may dispatch, what
 * it reports and what the caller may be told. Performs no input or output.
 *
 * <p>Created when the request of the caller arrives. Safe for use by several threads.
 */
public final class DispatchAttempt {

  private static final String ABANDON = "ABANDON";
  private static final String ABANDONED = "ABANDONED";
  private static final String DISPATCH = "DISPATCH";
  private static final String DISPATCHED = "DISPATCHED";
  private static final String GRANT = "GRANT";
  private static final String REFUSE = "REFUSE";
  private static final StateChart CHART = StateChart.load("dispatch-attempt.json");

  private final Clock monotonicClock;
  private final long receivedAtMs;
  private BeginRequest request;
  private String state = CHART.initialState();
  private long leaseEndMs = Long.MIN_VALUE;
  private Optional<CallerAnswer> upstreamAnswer = Optional.empty();

  /**
   * Creates the attempt. Must be called when the request of the caller arrives, because a NOT_RUN
   * that was committed later also holds for this request.
   *
   * @param request request to begin; its attempt id must be new
   * @param monotonicClock clock for the lease
   */
  public DispatchAttempt(BeginRequest request, Clock monotonicClock) {
    this.request = request;
    this.monotonicClock = monotonicClock;
    this.receivedAtMs = monotonicClock.millis();
  }

  /**
   * Returns the request to begin and starts the lease at the first call. Must be called just before
   * the request is sent.
   *
   * @return the request
   */
  public synchronized BeginRequest begin() {
    if (leaseEndMs == Long.MIN_VALUE) {
      leaseEndMs = monotonicClock.millis() + request.leaseMs();
    }
    return request;
  }

  /**
   * Decides on the result of a begin.
   *
   * @param result the decision of the records, or the reason for which there is none
   * @return what to do next
   */
  public synchronized DispatchStep onBegin(Either<LedgerError, BeginResult> result) {
    if (result.isLeft()) {
      return onBeginError(result.getLeft());
    }
    BeginResult decision = result.get();
    ExecutionRecord record = decision.record();
    if (decision.granted()) {
      return fire(GRANT) ? new DispatchStep.Dispatch() : new DispatchStep.Finish(abandon());
    }
    boolean own = record.attemptId().equals(request.attemptId());
    if (own && record.state() == ExecutionState.UNKNOWN) {
      // The lease of this attempt ended before the answer arrived; it was not dispatched.
      return new DispatchStep.Finish(abandon());
    }
    if (!own && record.state() == ExecutionState.NOT_RUN && isCommittedBeforeArrival(decision)) {
      request = request.after(record.attemptId());
      return new DispatchStep.Begin(request);
    }
    fire(REFUSE);
    return answerFrom(record);
  }

  private DispatchStep onBeginError(LedgerError error) {
    if (error instanceof LedgerError.KeyReused || error instanceof LedgerError.KeyExpired) {
      fire(REFUSE);
      return new DispatchStep.Answer(CallerAnswer.refused(error));
    }
    // The begin may arrive later; the abandon makes sure that it is not granted.
    return new DispatchStep.Finish(abandon());
  }

  /**
   * Tells whether the NOT_RUN of another attempt is older than the request of the caller. Copies of
   * a request that arrived before a NOT_RUN was committed must not run, because one of them was
   * answered "not run".
   */
  private boolean isCommittedBeforeArrival(BeginResult decision) {
    return decision.isOlderThan(receivedAtMs, monotonicClock.millis());
  }

  /**
   * Asks for permission to write the first byte to an upstream. A connection attempt that is
   * refused before this call needs no permission and may be repeated.
   *
   * @return true if the call may be dispatched, once; false if the lease has ended, after which the
   *     attempt must be abandoned
   */
  public synchronized boolean tryDispatch() {
    if (monotonicClock.millis() < leaseEndMs && fire(DISPATCH)) {
      return true;
    }
    if (!state.equals(DISPATCHED)) {
      fire(ABANDON);
    }
    return false;
  }

  /**
   * States that this attempt has not dispatched the call and never will.
   *
   * @return the outcome to report
   * @throws IllegalStateException if the call may have been dispatched
   */
  public synchronized FinishRequest abandon() {
    if (!fire(ABANDON)) {
      throw new IllegalStateException(
          "attempt " + request.attemptId() + " is " + state + " and cannot be abandoned");
    }
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.NOT_RUN, 0, "");
  }

  /**
   * Takes the answer of the upstream.
   *
   * @param status HTTP status
   * @param body body of the answer
   * @return the outcome to report before the caller is answered
   * @throws IllegalStateException if the call was not dispatched
   */
  public synchronized FinishRequest answered(int status, String body) {
    requireDispatched();
    upstreamAnswer = Optional.of(CallerAnswer.done(status, body));
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.DONE, status, body);
  }

  /**
   * Notes that the answer of the upstream was lost after the first byte was written.
   *
   * @return the outcome to report
   * @throws IllegalStateException if the call was not dispatched
   */
  public synchronized FinishRequest answerLost() {
    requireDispatched();
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.UNKNOWN, 0, "");
  }

  private void requireDispatched() {
    if (!state.equals(DISPATCHED)) {
      throw new IllegalStateException(
          "attempt " + request.attemptId() + " is " + state + " and has no answer");
    }
  }

  /**
   * Decides on the result of a report.
   *
   * @param result the record after the report, or the reason for which it is not known
   * @return what to do next
   */
  public synchronized DispatchStep onFinish(Either<LedgerError, ExecutionRecord> result) {
    if (upstreamAnswer.isPresent()) {
      return new DispatchStep.Answer(upstreamAnswer.get());
    }
    if (result.isLeft()) {
      return state.equals(ABANDONED) && result.getLeft() instanceof LedgerError.NotHolder
          ? new DispatchStep.AwaitOutcome()
          : new DispatchStep.Answer(CallerAnswer.UNKNOWN);
    }
    return state.equals(DISPATCHED) && result.get().state() != ExecutionState.DONE
        ? new DispatchStep.Answer(CallerAnswer.UNKNOWN)
        : answerFrom(result.get());
  }

  /**
   * Decides on the status of a record that another attempt holds.
   *
   * @param result the record, or the reason for which it cannot be read
   * @return what to do next
   */
  public synchronized DispatchStep onStatus(Either<LedgerError, Optional<ExecutionRecord>> result) {
    return result
        .toJavaOptional()
        .flatMap(record -> record)
        .map(DispatchAttempt::answerFrom)
        .orElseGet(DispatchStep.AwaitOutcome::new);
  }

  private static DispatchStep answerFrom(ExecutionRecord record) {
    return switch (record.state()) {
      case DONE -> new DispatchStep.Answer(CallerAnswer.done(record.status(), record.answer()));
      case NOT_RUN -> new DispatchStep.Answer(CallerAnswer.NOT_RUN);
      case EXPIRED -> new DispatchStep.Answer(CallerAnswer.refused(new LedgerError.KeyExpired()));
      default -> new DispatchStep.AwaitOutcome();
    };
  }

  /**
   * Returns what the caller is told if its deadline is over now.
   *
   * @return the answer of the upstream if it is known, else "unknown"
   */
  public synchronized CallerAnswer atDeadline() {
    return upstreamAnswer.orElse(CallerAnswer.UNKNOWN);
  }

  private boolean fire(String event) {
    Optional<String> next = CHART.next(state, event);
    next.ifPresent(target -> state = target);
    return next.isPresent();
  }
}
