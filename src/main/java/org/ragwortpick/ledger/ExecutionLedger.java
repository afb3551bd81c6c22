package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Access of entry VMs to the execution records. */
public interface ExecutionLedger {

  /**
   * Requests the right to dispatch a call. The right is granted only after the record is durable on
   * a quorum.
   *
   * @param request identity, digest and lease
   * @param timeoutMs timeout in milliseconds
   * @return the decision, or the error
   */
  CompletionStage<Either<LedgerError, BeginResult>> begin(BeginRequest request, long timeoutMs);

  /**
   * Reports the outcome of an attempt. The operation is idempotent.
   *
   * @param request the outcome
   * @param timeoutMs timeout in milliseconds
   * @return the record after the report, or the error
   */
  CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs);

  /**
   * Reads a record through the leader.
   *
   * @param key identity of the call
   * @param timeoutMs timeout in milliseconds
   * @return the record, empty if there is none, or the error
   */
  CompletionStage<Either<LedgerError, Optional<ExecutionRecord>>> status(
      ExecutionKey key, long timeoutMs);
}
