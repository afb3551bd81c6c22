package org.ragwortpick.ledger;

/**
 * Decision on a request to begin.
 *
 * @param granted whether the attempt of the request holds the right to dispatch
 * @param record the record after the decision; the existing one if the right was not granted
 */
public record BeginResult(boolean granted, ExecutionRecord record) {}
