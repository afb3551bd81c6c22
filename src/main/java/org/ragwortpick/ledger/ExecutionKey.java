package org.ragwortpick.ledger;

/**
 * Identity of a non-idempotent call.
 *
 * @param workspace workspace of the caller
 * @param idempotencyKey key chosen by the caller, unique within the workspace
 */
public record ExecutionKey(String workspace, String idempotencyKey) {}
