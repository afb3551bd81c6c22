package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Execution records, as used by entry VMs. */
public interface ExecutionLedger {

  /**
   * Asks for the right to dispatch a call. The right is granted only after the record is on the
   * disks of a quorum.
   *
   * @param request identity, digest and lease
   * @param timeoutMs time to wait in milliseconds
   * @return the decision, or the reason for which there is none
   */
  CompletionStage<Either<LedgerError, BeginResult>> begin(BeginRequest request, long timeoutMs);

  /**
   * Reports the outcome of an attempt. Repeating a report has no further effect.
   *
   * @param request the outcome
   * @param timeoutMs time to wait in milliseconds
   * @return the record after the report, or the reason for which there is none
   */
  CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs);

  /**
   * Reads a record through the leader.
   *
   * @param key identity of the call
   * @param timeoutMs time to wait in milliseconds
   * @return the record, empty if there is none, or the reason for which it cannot be read
   */
  CompletionStage<Either<LedgerError, Optional<ExecutionRecord>>> status(
      ExecutionKey key, long timeoutMs);
}
