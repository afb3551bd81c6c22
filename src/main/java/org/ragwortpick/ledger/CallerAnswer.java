package org.ragwortpick.ledger;

import java.util.Optional;
import org.ragwortpick.error.ExecutionOutcome;

/**
 * What a caller may be told about its non-idempotent call.
 *
 * @param outcome what is known about the execution
 * @param status HTTP status of the upstream's answer; 0 unless the outcome is DONE
 * @param answer body of the upstream's answer; empty unless the outcome is DONE
 * @param error reason for a refusal, if the records refused the call
 */
public record CallerAnswer(
    ExecutionOutcome outcome, int status, String answer, Optional<LedgerError> error) {

  /** The call may or may not have run. */
  static final CallerAnswer UNKNOWN =
      new CallerAnswer(ExecutionOutcome.UNKNOWN, 0, "", Optional.empty());

  /** The call was not run and never runs under the attempts that arrived so far. */
  static final CallerAnswer NOT_RUN =
      new CallerAnswer(ExecutionOutcome.NOT_RUN, 0, "", Optional.empty());

  /**
   * Creates the answer to a call that ran.
   *
   * @param status HTTP status of the upstream's answer
   * @param answer body of the upstream's answer
   * @return the answer
   */
  static CallerAnswer done(int status, String answer) {
    return new CallerAnswer(ExecutionOutcome.DONE, status, answer, Optional.empty());
  }

  /**
   * Creates the answer to a call that the records refused.
   *
   * @param error reason of the refusal
   * @return the answer
   */
  static CallerAnswer refused(LedgerError error) {
    // A reused key names another request: this one is invalid and never runs. An expired key may
    // have run before.
    ExecutionOutcome outcome =
        error instanceof LedgerError.KeyReused
            ? ExecutionOutcome.NOT_RUN
            : ExecutionOutcome.UNKNOWN;
    return new CallerAnswer(outcome, 0, "", Optional.of(error));
  }
}
