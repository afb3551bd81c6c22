package org.ragwortpick.policy.limit;

/**
 * Recent events that point to the same state of an upstream. Guarded by the account that owns it.
 */
final class Evidence {

  private static final long KEPT_MS = 2_000;
  private static final int ENOUGH = 2;

  private int count;
  private long lastAtMs = Long.MIN_VALUE / 2;

  /**
   * Counts an event.
   *
   * @param nowMs current time in milliseconds
   */
  void record(long nowMs) {
    count = nowMs - lastAtMs > KEPT_MS ? 1 : count + 1;
    lastAtMs = nowMs;
  }

  /** Forgets all events. */
  void clear() {
    count = 0;
  }

  /**
   * Tells whether there were enough events lately.
   *
   * @param nowMs current time in milliseconds
   * @return true if the state is likely
   */
  boolean isEnough(long nowMs) {
    return count >= ENOUGH && nowMs - lastAtMs <= KEPT_MS;
  }
}
