package org.ragwortpick.ledger;

/**
 * Decision on a request to begin.
 *
 * @param granted whether the attempt of the request holds the right to dispatch
 * @param record the record after the decision; the existing one if the right was not granted
 * @param recordAgeMs time in milliseconds for which the record has been in its state at least
 */
public record BeginResult(boolean granted, ExecutionRecord record, long recordAgeMs) {

  /** Share of a measured time by which the clocks of two VMs may differ: 1 in 100. */
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /**
   * Creates a decision on a record of unknown age.
   *
   * @param granted whether the attempt of the request holds the right to dispatch
   * @param record the record after the decision
   */
  public BeginResult(boolean granted, ExecutionRecord record) {
    this(granted, record, 0);
  }

  /**
   * Tells whether the record reached its state before a request of a caller arrived. The record
   * changed at the latest at the arrival of this decision less the age of the record; the age is
   * shortened by the drift that the clocks of two VMs may have.
   *
   * @param arrivedAtMs arrival of the caller's request on the local monotonic clock in milliseconds
   * @param nowMs local monotonic time in milliseconds
   * @return true if the state is older than the request
   */
  public boolean isOlderThan(long arrivedAtMs, long nowMs) {
    long driftMs = recordAgeMs / CLOCK_DRIFT_DIVISOR + 1;
    return nowMs - (recordAgeMs - driftMs) < arrivedAtMs;
  }
}
