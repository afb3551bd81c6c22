package org.ragwortpick.ledger;

import java.util.Optional;
import org.ragwortpick.error.ExecutionOutcome;

/**
 * Response to the caller of a non-idempotent call.
 *
 * @param outcome known outcome of the execution
 * @param status HTTP status of the upstream's response; 0 unless the outcome is DONE
 * @param responseBody body of the upstream's response; empty unless the outcome is DONE
 * @param error reason if the ledger refused the call
 */
public record CallerResponse(
    ExecutionOutcome outcome, int status, String responseBody, Optional<LedgerError> error) {

  /** The call may or may not have run. */
  static final CallerResponse UNKNOWN =
      new CallerResponse(ExecutionOutcome.UNKNOWN, 0, "", Optional.empty());

  /** The call has not run and will not run for any request that has arrived so far. */
  static final CallerResponse NOT_RUN =
      new CallerResponse(ExecutionOutcome.NOT_RUN, 0, "", Optional.empty());

  /**
   * Creates the response to a call that ran.
   *
   * @param status HTTP status of the upstream's response
   * @param responseBody body of the upstream's response
   * @return the response
   */
  static CallerResponse done(int status, String responseBody) {
    return new CallerResponse(ExecutionOutcome.DONE, status, responseBody, Optional.empty());
  }

  /**
   * Creates the response to a call that the ledger refused.
   *
   * @param error reason for the refusal
   * @return the response
   */
  static CallerResponse refused(LedgerError error) {
    // A reused key belongs to another request, so this one is invalid and never runs. The call of
    // an expired key may have run before.
    ExecutionOutcome outcome =
        error instanceof LedgerError.KeyReused
            ? ExecutionOutcome.NOT_RUN
            : ExecutionOutcome.UNKNOWN;
    return new CallerResponse(outcome, 0, "", Optional.of(error));
  }
}
