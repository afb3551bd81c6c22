package org.ragwortpick.ledger;

/**
 * Outcome that the holder of an attempt reports.
 *
 * @param key identity of the call
 * @param attemptId attempt that holds the record
 * @param state DONE, NOT_RUN or UNKNOWN; NOT_RUN states that the attempt never dispatches the call
 * @param status HTTP status of the answer; 0 unless the state is DONE
 * @param answer body of the answer; empty unless the state is DONE
 */
public record FinishRequest(
    ExecutionKey key, String attemptId, ExecutionState state, int status, String answer) {}
