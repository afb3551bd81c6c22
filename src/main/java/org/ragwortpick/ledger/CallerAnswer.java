package org.ragwortpick.ledger;

import java.util.Optional;
import org.ragwortpick.error.ExecutionOutcome;

/**
 * Response to the caller of a non-idempotent call.
 *
 * @param outcome known outcome of the execution
 * @param status HTTP status of the upstream's response; 0 unless the outcome is DONE
 * @param answer body of the upstream's response; empty unless the outcome is DONE
 * @param error reason if the ledger refused the call
 */
public record CallerAnswer(
    ExecutionOutcome outcome, int status, String answer, Optional<LedgerError> error) {

  /** The call may or may not have run. */
  static final CallerAnswer UNKNOWN =
      new CallerAnswer(ExecutionOutcome.UNKNOWN, 0, "", Optional.empty());

  /** The call has not run and will not run for any request that has arrived so far. */
  static final CallerAnswer NOT_RUN =
      new CallerAnswer(ExecutionOutcome.NOT_RUN, 0, "", Optional.empty());

  /**
   * Creates the response to a call that ran.
   *
   * @param status HTTP status of the upstream's response
   * @param answer body of the upstream's response
   * @return the response
   */
  static CallerAnswer done(int status, String answer) {
    return new CallerAnswer(ExecutionOutcome.DONE, status, answer, Optional.empty());
  }

  /**
   * Creates the response to a call that the ledger refused.
   *
   * @param error reason for the refusal
   * @return the response
   */
  static CallerAnswer refused(LedgerError error) {
    // A reused key belongs to another request, so this one is invalid and never runs. The call of
    // an expired key may have run before.
    ExecutionOutcome outcome =
        error instanceof LedgerError.KeyReused
            ? ExecutionOutcome.NOT_RUN
            : ExecutionOutcome.UNKNOWN;
    return new CallerAnswer(outcome, 0, "", Optional.of(error));
  }
}
