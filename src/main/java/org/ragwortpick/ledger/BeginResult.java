package org.ragwortpick.ledger;

/**
 * Decision on a begin request.
 *
 * @param granted whether the attempt of the request holds the right to dispatch
 * @param record the record after the decision; the existing one if the right was not granted
 * @param recordAgeMs minimum time in milliseconds for which the record has been in its state
 */
public record BeginResult(boolean granted, ExecutionRecord record, long recordAgeMs) {

  /** Maximum relative drift between the monotonic clocks of two VMs, as a divisor: 1 in 100. */
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
   * Returns whether the record reached its state before a request of a caller arrived. The latest
   * possible time of that change is the arrival of this decision minus the age of the record. The
   * age is reduced by the maximum drift between the clocks of two VMs.
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
