package org.ragwortpick.ledger;

/**
 * Execution record with the fields that only the state machine needs.
 *
 * @param record the record
 * @param leaseEndMs end of the lease of the attempt in milliseconds since 1970 by the wall clock of
 *     the leader; 0 unless the record is PENDING
 * @param dispatched whether the holder stated that it may have dispatched the call, so that it can
 *     no longer state NOT_RUN
 * @param steadyAtMs steady time of the last change in milliseconds
 */
record StoredExecution(
    ExecutionRecord record, long leaseEndMs, boolean dispatched, long steadyAtMs) {}
