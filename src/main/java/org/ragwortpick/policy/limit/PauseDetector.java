package org.ragwortpick.policy.limit;

import java.time.Clock;

/**
 * Detects pauses of the local process by delays of a periodic call.
 *
 * <p>Requests in flight during a pause appear slow or timed out afterwards. When they counted as
 * evidence, all upstreams of a service looked cold at once and received no work for seven seconds.
 */
final class PauseDetector {

  /** A longer interval between two periodic calls is a pause. */
  private static final long MIN_PAUSE_MS = 500;

  /** Time after a pause within which requests that were in flight during it may still end. */
  private static final long AFTER_PAUSE_MS = 5_000;

  private final Clock clock;
  private long lastTickMs = Long.MIN_VALUE;
  private long pauseEndMs = Long.MIN_VALUE / 2;

  /**
   * Creates a detector that has detected no pause.
   *
   * @param clock monotonic clock
   */
  PauseDetector(Clock clock) {
    this.clock = clock;
  }

  /** Records that the process is running. Called periodically, at least every 100 ms. */
  synchronized void tick() {
    detectPause();
    lastTickMs = clock.millis();
  }

  /**
   * Tells whether requests that end now may have been in flight during a pause.
   *
   * @return true within 5 s of the end of a pause
   */
  synchronized boolean isAfterPause() {
    detectPause();
    return clock.millis() - pauseEndMs < AFTER_PAUSE_MS;
  }

  private void detectPause() {
    long nowMs = clock.millis();
    if (lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > MIN_PAUSE_MS) {
      pauseEndMs = nowMs;
      lastTickMs = nowMs;
    }
  }
}
