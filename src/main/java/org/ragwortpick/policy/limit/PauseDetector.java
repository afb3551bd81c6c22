package org.ragwortpick.policy.limit;

import java.time.Clock;

/**
 * Detects that the local process was paused, from a periodic call that came late.
 *
 * <p>A process that was frozen sees the requests that it had in flight as slow or timed out. Judged
 * by them, all upstreams of a service looked cold at once and received no work for seven seconds.
 */
final class PauseDetector {

  /** A periodic call that is later than this shows a pause. */
  private static final long PAUSE_MS = 500;

  /** Time after a pause in which requests that were in flight during it may still end. */
  private static final long SUSPENDED_MS = 5_000;

  private final Clock clock;
  private long lastTickMs = Long.MIN_VALUE;
  private long pauseEndMs = Long.MIN_VALUE / 2;

  /**
   * Creates a detector that knows of no pause.
   *
   * @param clock monotonic clock
   */
  PauseDetector(Clock clock) {
    this.clock = clock;
  }

  /** Notes that the process runs. Called periodically, at least every 100 ms. */
  synchronized void tick() {
    observe();
    lastTickMs = clock.millis();
  }

  /**
   * Tells whether requests that end now may have been in flight during a pause.
   *
   * @return true within 5 s of the end of a pause
   */
  synchronized boolean isAfterPause() {
    observe();
    return clock.millis() - pauseEndMs < SUSPENDED_MS;
  }

  private void observe() {
    long nowMs = clock.millis();
    if (lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > PAUSE_MS) {
      pauseEndMs = nowMs;
      lastTickMs = nowMs;
    }
  }
}
