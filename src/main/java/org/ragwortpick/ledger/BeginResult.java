package org.ragwortpick.ledger;

/**
 * Decision on a request to begin.
 *
 * @param granted whether the attempt of the request holds the right to dispatch
 * @param record the record after the decision; the existing one if the right was not granted
 * @param decidedAtMs time of the decision in milliseconds since 1970 by the clock of the leader,
 *     comparable with the update time of the record
 */
public record BeginResult(boolean granted, ExecutionRecord record, long decidedAtMs) {

  /**
   * Creates a decision made at the last change of the record.
   *
   * @param granted whether the attempt of the request holds the right to dispatch
   * @param record the record after the decision
   */
  public BeginResult(boolean granted, ExecutionRecord record) {
    this(granted, record, record.updatedAtMs());
  }
}
