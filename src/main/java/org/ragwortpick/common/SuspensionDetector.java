package org.ragwortpick.common;

import java.time.Clock;

/**
 * Detects that the process was suspended. During a suspension the wall clock advances and the
 * monotonic clock does not, so the lead of the wall clock over the monotonic clock increases. A
 * forward step of the wall clock looks the same, so reacting to a false detection must be harmless.
 */
public final class SuspensionDetector {

  /** Increase of the lead above which a suspension is assumed; larger than the clock drift. */
  private static final long MIN_LEAD_INCREASE_MS = 300;

  private final Clock monotonicClock;
  private final Clock wallClock;
  private long previousLeadMs;
  private long resumedAtMs = Long.MIN_VALUE;

  /**
   * Creates a detector.
   *
   * @param monotonicClock clock that stops during a suspension
   * @param wallClock clock that advances during a suspension
   */
  public SuspensionDetector(Clock monotonicClock, Clock wallClock) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.previousLeadMs = wallClockLeadMs();
  }

  private long wallClockLeadMs() {
    return wallClock.millis() - monotonicClock.millis();
  }

  /**
   * Returns the time at which the end of the last suspension was detected.
   *
   * @return monotonic time in milliseconds; {@link Long#MIN_VALUE} if no suspension was detected
   */
  public synchronized long resumedAtMs() {
    long leadMs = wallClockLeadMs();
    if (leadMs - previousLeadMs > MIN_LEAD_INCREASE_MS) {
      resumedAtMs = monotonicClock.millis();
    }
    previousLeadMs = leadMs;
    return resumedAtMs;
  }
}
