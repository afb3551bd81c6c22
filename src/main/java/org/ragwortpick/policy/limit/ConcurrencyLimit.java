package org.ragwortpick.policy.limit;

/**
 * Limit of the requests in flight of the local VM at one upstream. It starts at an equal share of
 * the slots. While the upstream has free slots, it grows by about one whenever as many requests
 * have succeeded as the limit permits; while there are none, it shrinks towards the equal share.
 * Refusals and timeouts reduce it further. Not thread-safe: guarded by the limit state that owns
 * it.
 */
final class ConcurrencyLimit {

  private static final double DECREASE_FACTOR = 0.7;

  /** One overload fails several requests and should decrease the limit only once. */
  private static final long MIN_DECREASE_INTERVAL_MS = 200;

  private double limit;
  private double equalShare = 1;
  private double maximum;
  private long decreasedAtMs = Long.MIN_VALUE / 2;

  /**
   * Sets the bounds and returns the limit to the equal share.
   *
   * @param slots requests that the upstream runs at once
   * @param entryVms number of entry VMs that share the upstream
   */
  void reset(int slots, int entryVms) {
    maximum = Math.max(1, slots);
    equalShare = Math.max(1, Math.ceil((double) slots / Math.max(1, entryVms)));
    limit = equalShare;
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
    // A limit that is not reached is not evidence that the upstream can handle more requests.
    if (hasFreeSlots && inFlight >= (int) limit) {
      limit = Math.min(maximum, limit + 1.0 / limit);
    }
  }

  /** Decreases a limit above the equal share because the upstream has no free slot. */
  void decreaseTowardsEqualShare() {
    limit = Math.max(Math.min(equalShare, limit), limit * DECREASE_FACTOR);
  }

  /**
   * Decreases the limit after a refusal or a timeout.
   *
   * @param nowMs current time
   */
  void decrease(long nowMs) {
    if (nowMs - decreasedAtMs >= MIN_DECREASE_INTERVAL_MS) {
      limit = Math.max(1, limit * DECREASE_FACTOR);
      decreasedAtMs = nowMs;
    }
  }
}
