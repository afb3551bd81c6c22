package org.ragwortpick.ledger;

/**
 * Request of an attempt to record its outcome.
 *
 * @param key identity of the call
 * @param attemptId identity of the attempt
 * @param state DONE, NOT_RUN or UNKNOWN; NOT_RUN means that the attempt never dispatches the call
 * @param status HTTP status of the response; 0 unless the state is DONE
 * @param responseBody body of the response; empty unless the state is DONE
 */
public record FinishRequest(
    ExecutionKey key, String attemptId, ExecutionState state, int status, String responseBody) {}
