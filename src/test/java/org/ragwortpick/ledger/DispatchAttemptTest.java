package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.error.ExecutionOutcome;
import org.testng.annotations.Test;

/** Guards against dispatches after the lease, duplicate dispatches and false responses. */
public final class DispatchAttemptTest {

  private static final ExecutionKey KEY = new ExecutionKey("w1", "k1");
  private static final long LEASE_MS = 1_000;

  private final ManualClock clock = new ManualClock();

  private DispatchAttempt attempt(String id) {
    return new DispatchAttempt(
        new BeginRequest(KEY, "raspored", "d", "vm1", id, LEASE_MS, OptionalLong.empty()), clock);
  }

  private static Either<LedgerError, BeginResult> result(
      boolean granted, ExecutionState state, String attemptId, long ageMs) {
    ExecutionRecord record =
        new ExecutionRecord(KEY, state, "raspored", "d", "vm1", attemptId, 0, "", 5_000);
    return Either.right(new BeginResult(granted, record, ageMs));
  }

  @Test
  public void leaseStartsAtFirstBegin() {
    DispatchAttempt attempt = attempt("a");
    attempt.begin();
    clock.advanceMs(LEASE_MS - 1);
    attempt.begin();
    assertEquals(
        attempt.onBegin(result(true, ExecutionState.PENDING, "a", 0)), new DispatchStep.Dispatch());
    clock.advanceMs(1);
    assertFalse(attempt.tryDispatch());
    assertEquals(attempt.abandon().state(), ExecutionState.NOT_RUN);
    assertThrows(IllegalStateException.class, () -> attempt.onUpstreamResponse(200, ""));
  }

  @Test
  public void dispatchesOnceAndThenCannotBeAbandoned() {
    DispatchAttempt attempt = attempt("a");
    attempt.begin();
    attempt.onBegin(result(true, ExecutionState.PENDING, "a", 0));
    assertTrue(attempt.tryDispatch());
    assertFalse(attempt.tryDispatch());
    assertThrows(IllegalStateException.class, attempt::abandon);
    assertEquals(attempt.responseAtDeadline().outcome(), ExecutionOutcome.UNKNOWN);
    attempt.onUpstreamResponse(200, "booked");
    assertEquals(
        attempt.onFinish(Either.left(new LedgerError.Unreachable())),
        new DispatchStep.Respond(CallerResponse.done(200, "booked")));
  }

  @Test
  public void requestReceivedBeforeNotRunDoesNotBeginAgain() {
    DispatchAttempt early = attempt("b");
    clock.advanceMs(100);
    DispatchAttempt late = attempt("c");
    clock.advanceMs(10);
    assertEquals(
        early.onBegin(result(false, ExecutionState.NOT_RUN, "a", 50)),
        new DispatchStep.Respond(CallerResponse.NOT_RUN));
    assertEquals(
        late.onBegin(result(false, ExecutionState.NOT_RUN, "a", 50)),
        new DispatchStep.Begin(late.begin()));
    assertEquals(late.begin().afterAttemptId(), Optional.of("a"));
  }

  @Test
  public void unreachableRecordsAreNeverReportedAsNotRun() {
    DispatchAttempt attempt = attempt("a");
    attempt.begin();
    attempt.onBegin(Either.left(new LedgerError.Unreachable()));
    assertEquals(
        attempt.onFinish(Either.left(new LedgerError.Unreachable())),
        new DispatchStep.Respond(CallerResponse.UNKNOWN));
  }
}
