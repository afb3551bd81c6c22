package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.Optional;
import org.ragwortpick.common.StateChart;

/**
 * State machine of one attempt to run a non-idempotent call on an entry VM. Decides when the call
 * may be dispatched, which outcome is reported and what the response to the caller states. Performs
 * no I/O.
 *
 * <p>Thread-safe.
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
  private Optional<CallerResponse> upstreamResponse = Optional.empty();

  /**
   * Creates the attempt. Must be called when the request of the caller arrives, because a NOT_RUN
   * that is committed later also applies to this request.
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
   * Returns the begin request; the first call starts the lease. Must be called immediately before
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
   * Handles the result of a begin request.
   *
   * @param result the decision, or the error
   * @return the next step
   */
  public synchronized DispatchStep onBegin(Either<LedgerError, BeginResult> result) {
    if (result.isLeft()) {
      return onBeginError(result.getLeft());
    }
    BeginResult beginResult = result.get();
    ExecutionRecord record = beginResult.record();
    if (beginResult.granted()) {
      return fire(GRANT) ? new DispatchStep.Dispatch() : new DispatchStep.Finish(abandon());
    }
    boolean isOwnRecord = record.attemptId().equals(request.attemptId());
    if (isOwnRecord && record.state() == ExecutionState.UNKNOWN) {
      // The lease of this attempt ended before the reply arrived; the call was not dispatched.
      return new DispatchStep.Finish(abandon());
    }
    if (!isOwnRecord
        && record.state() == ExecutionState.NOT_RUN
        && isCommittedBeforeArrival(beginResult)) {
      request = request.after(record.attemptId());
      return new DispatchStep.Begin(request);
    }
    fire(REFUSE);
    return stepFromRecord(record);
  }

  private DispatchStep onBeginError(LedgerError error) {
    if (error instanceof LedgerError.KeyReused || error instanceof LedgerError.KeyExpired) {
      fire(REFUSE);
      return new DispatchStep.Respond(CallerResponse.refused(error));
    }
    // The begin request may arrive later; abandoning the attempt ensures that it is not granted.
    return new DispatchStep.Finish(abandon());
  }

  /**
   * Returns whether the NOT_RUN of another attempt is older than the request of the caller. Copies
   * of a request that arrived before a NOT_RUN was committed must not run, because the response to
   * one of them was "not run".
   */
  private boolean isCommittedBeforeArrival(BeginResult decision) {
    return decision.isOlderThan(receivedAtMs, monotonicClock.millis());
  }

  /**
   * Returns whether the first byte may be written to an upstream. Connecting before this call needs
   * no permission and may be repeated.
   *
   * @return true at most once, if the lease has not expired; if false and the call was not
   *     dispatched before, the attempt must be abandoned
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
   * Abandons the attempt, which has not dispatched the call and never will.
   *
   * @return the outcome to report
   * @throws IllegalStateException if the call may have been dispatched
   */
  public synchronized FinishRequest abandon() {
    if (!fire(ABANDON)) {
      throw new IllegalStateException(
          "attempt " + request.attemptId() + " in state " + state + " cannot be abandoned");
    }
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.NOT_RUN, 0, "");
  }

  /**
   * Handles the response of the upstream.
   *
   * @param status HTTP status
   * @param body body of the response
   * @return the outcome to report before the response is sent to the caller
   * @throws IllegalStateException if the call was not dispatched
   */
  public synchronized FinishRequest onUpstreamResponse(int status, String body) {
    requireDispatched();
    upstreamResponse = Optional.of(CallerResponse.done(status, body));
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.DONE, status, body);
  }

  /**
   * Handles the loss of the response of the upstream after the first byte was written.
   *
   * @return the outcome to report
   * @throws IllegalStateException if the call was not dispatched
   */
  public synchronized FinishRequest onUpstreamResponseLost() {
    requireDispatched();
    return new FinishRequest(request.key(), request.attemptId(), ExecutionState.UNKNOWN, 0, "");
  }

  private void requireDispatched() {
    if (!state.equals(DISPATCHED)) {
      throw new IllegalStateException(
          "attempt " + request.attemptId() + " in state " + state + " was not dispatched");
    }
  }

  /**
   * Handles the result of a finish request.
   *
   * @param result the record after the report, or the error
   * @return the next step
   */
  public synchronized DispatchStep onFinish(Either<LedgerError, ExecutionRecord> result) {
    if (upstreamResponse.isPresent()) {
      return new DispatchStep.Respond(upstreamResponse.get());
    }
    if (result.isLeft()) {
      return state.equals(ABANDONED) && result.getLeft() instanceof LedgerError.NotHolder
          ? new DispatchStep.AwaitOutcome()
          : new DispatchStep.Respond(CallerResponse.UNKNOWN);
    }
    return state.equals(DISPATCHED) && result.get().state() != ExecutionState.DONE
        ? new DispatchStep.Respond(CallerResponse.UNKNOWN)
        : stepFromRecord(result.get());
  }

  /**
   * Handles the status of a record that another attempt holds.
   *
   * @param result the record, empty if there is none, or the error
   * @return the next step
   */
  public synchronized DispatchStep onStatus(Either<LedgerError, Optional<ExecutionRecord>> result) {
    return result
        .toJavaOptional()
        .flatMap(record -> record)
        .map(DispatchAttempt::stepFromRecord)
        .orElseGet(DispatchStep.AwaitOutcome::new);
  }

  private static DispatchStep stepFromRecord(ExecutionRecord record) {
    return switch (record.state()) {
      case DONE ->
          new DispatchStep.Respond(CallerResponse.done(record.status(), record.responseBody()));
      case NOT_RUN -> new DispatchStep.Respond(CallerResponse.NOT_RUN);
      case EXPIRED ->
          new DispatchStep.Respond(CallerResponse.refused(new LedgerError.KeyExpired()));
      default -> new DispatchStep.AwaitOutcome();
    };
  }

  /**
   * Returns the response to the caller if its deadline expires now.
   *
   * @return the response of the upstream if it has arrived, otherwise "unknown"
   */
  public synchronized CallerResponse responseAtDeadline() {
    return upstreamResponse.orElse(CallerResponse.UNKNOWN);
  }

  private boolean fire(String event) {
    Optional<String> next = CHART.next(state, event);
    next.ifPresent(target -> state = target);
    return next.isPresent();
  }
}
