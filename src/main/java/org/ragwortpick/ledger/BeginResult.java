package org.ragwortpick.ledger;

/**
 * Decision on a request to begin.
 *
 * @param granted whether the attempt of the request holds the right to dispatch
 * @param record the record after the decision; the existing one if the right was not granted
 * @param recordAgeMs time in milliseconds for which the record has been in its state at least
 */
public record BeginResult(boolean granted, ExecutionRecord record, long recordAgeMs) {

  /**
   * Creates a decision on a record of unknown age.
   *
   * @param granted whether the attempt of the request holds the right to dispatch
   * @param record the record after the decision
   */
  public BeginResult(boolean granted, ExecutionRecord record) {
    this(granted, record, 0);
  }
}
