package org.ragwortpick.common;

import java.time.Clock;

/**
 * Finds out that the process was suspended. The monotonic clock does not count a suspension and the
 * time of day does, so the time of day gets ahead. A step of the time of day looks the same; what
 * follows must therefore be harmless.
 */
public final class SuspensionDetector {

  /** Lead of the time of day from which a suspension is assumed, above the drift of clocks. */
  private static final long TOLERANCE_MS = 300;

  private final Clock monotonicClock;
  private final Clock timeOfDay;
  private long leadMs;
  private long resumedAtMs = Long.MIN_VALUE;

  /**
   * Creates a detector.
   *
   * @param monotonicClock clock that does not count suspensions
   * @param timeOfDay clock that counts them
   */
  public SuspensionDetector(Clock monotonicClock, Clock timeOfDay) {
    this.monotonicClock = monotonicClock;
    this.timeOfDay = timeOfDay;
    this.leadMs = lead();
  }

  private long lead() {
    return timeOfDay.millis() - monotonicClock.millis();
  }

  /**
   * Returns the time at which the process last resumed from a suspension.
   *
   * @return monotonic time in milliseconds; the lowest value if it was never suspended
   */
  public synchronized long resumedAtMs() {
    long now = lead();
    if (now - leadMs > TOLERANCE_MS) {
      resumedAtMs = monotonicClock.millis();
    }
    leadMs = now;
    return resumedAtMs;
  }
}
