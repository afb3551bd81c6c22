package org.ragwortpick.policy.limit;

/**
 * Limit of the requests in flight of the local VM at one upstream. It starts at an equal share of
 * the slots, grows by one after a limit's worth of successes while there are free slots, shrinks
 * towards the equal share while there are none, and below it on refusals. Guarded by its owner.
 */
final class ConcurrencyLimit {

  private static final double DECREASE = 0.7;

  /** One overload makes several requests fail; it decreases the limit once within this time. */
  private static final long DECREASE_PAUSE_MS = 200;

  private double limit;
  private double least = 1;
  private double most;
  private long decreasedAtMs = Long.MIN_VALUE / 2;

  /**
   * Sets the bounds.
   *
   * @param slots requests that the upstream runs at once
   * @param entryVms number of entry VMs that share it
   */
  void reset(int slots, int entryVms) {
    most = Math.max(1, slots);
    least = Math.max(1, Math.ceil((double) slots / Math.max(1, entryVms)));
    limit = least;
  }

  /**
   * Returns the limit.
   *
   * @return requests that may be in flight, at least 1
   */
  int value() {
    return (int) limit;
  }

  /**
   * Grows the limit after a success.
   *
   * @param inFlight requests in flight before the success
   * @param hasFreeSlots whether the upstream has slots that other VMs do not use
   */
  void increase(int inFlight, boolean hasFreeSlots) {
    // A limit that is not used says nothing about what the upstream bears.
    if (hasFreeSlots && inFlight >= (int) limit) {
      limit = Math.min(most, limit + 1.0 / limit);
    }
  }

  /** Gives up a part of what exceeds the equal share because the upstream has no free slot. */
  void yield() {
    limit = Math.max(Math.min(least, limit), limit * DECREASE);
  }

  /**
   * Shrinks the limit after a refusal.
   *
   * @param nowMs current time
   */
  void decrease(long nowMs) {
    if (nowMs - decreasedAtMs >= DECREASE_PAUSE_MS) {
      limit = Math.max(1, limit * DECREASE);
      decreasedAtMs = nowMs;
    }
  }
}
