package org.ragwortpick.policy.limit;

/**
 * Counts recent events that indicate the same state of an upstream. Not thread-safe: guarded by the
 * limit state that owns it.
 */
final class RecentEvents {

  /** A longer time between two events starts a new count. */
  private static final long MAX_GAP_MS = 2_000;

  /** Number of events from which the state is likely. */
  private static final int THRESHOLD = 2;

  private int count;
  private long lastAtMs = Long.MIN_VALUE / 2;

  /**
   * Counts an event.
   *
   * @param nowMs current time in milliseconds
   */
  void record(long nowMs) {
    count = nowMs - lastAtMs > MAX_GAP_MS ? 1 : count + 1;
    lastAtMs = nowMs;
  }

  /** Resets the count. */
  void clear() {
    count = 0;
  }

  /**
   * Tells whether enough events were counted recently.
   *
   * @param nowMs current time in milliseconds
   * @return true if the state is likely
   */
  boolean isThresholdReached(long nowMs) {
    return count >= THRESHOLD && nowMs - lastAtMs <= MAX_GAP_MS;
  }
}
