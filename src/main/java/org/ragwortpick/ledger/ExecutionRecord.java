package org.ragwortpick.ledger;

/**
 * Execution record of one non-idempotent call.
 *
 * @param key identity of the call
 * @param state state of the record
 * @param service service that runs the call
 * @param bodyDigest hexadecimal digest of the request body
 * @param holderVm VM whose attempt holds or held the right to dispatch
 * @param attemptId identity of that attempt, unique across all VMs and restarts
 * @param status HTTP status of the response; 0 unless the state is DONE
 * @param responseBody body of the response; empty unless the state is DONE
 * @param updatedAtMs time of the last change in milliseconds since 1970 by the wall clock of the
 *     leader
 */
public record ExecutionRecord(
    ExecutionKey key,
    ExecutionState state,
    String service,
    String bodyDigest,
    String holderVm,
    String attemptId,
    int status,
    String responseBody,
    long updatedAtMs) {}
