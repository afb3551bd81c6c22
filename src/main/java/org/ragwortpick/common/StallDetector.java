package org.ragwortpick.common;

import java.time.Clock;

/**
 * Detects that the process did not run for a while: it was stopped by a signal, got no processor
 * time, or its VM was suspended. What it reads afterwards may have been sent long before.
 */
public final class StallDetector {

  /** Interval at which {@link #tick} is to be called in milliseconds. */
  public static final long TICK_INTERVAL_MS = 100;

  /** Time between two ticks above which a stall is assumed. */
  static final long MAX_GAP_MS = 300;

  private final Clock monotonicClock;
  private final SuspensionDetector suspensions;
  private long lastTickMs;
  private long lastStallMs = Long.MIN_VALUE;

  /**
   * Creates a detector.
   *
   * @param monotonicClock clock that advances while the process is stopped by a signal
   * @param suspensions detects suspensions, during which the monotonic clock stands still
   */
  public StallDetector(Clock monotonicClock, SuspensionDetector suspensions) {
    this.monotonicClock = monotonicClock;
    this.suspensions = suspensions;
    this.lastTickMs = monotonicClock.millis();
  }

  /** Records that the process runs. */
  public synchronized void tick() {
    long nowMs = monotonicClock.millis();
    if (nowMs - lastTickMs > MAX_GAP_MS) {
      lastStallMs = nowMs;
    }
    lastTickMs = nowMs;
  }

  /**
   * Tells whether a stall ended within a time span, or ends just now.
   *
   * @param spanMs length of the span in milliseconds
   * @return false if the process has certainly been running all the time
   */
  public synchronized boolean stalledWithin(long spanMs) {
    tick();
    long resumedAtMs = Math.max(lastStallMs, suspensions.resumedAtMs());
    return resumedAtMs != Long.MIN_VALUE && lastTickMs - resumedAtMs <= spanMs;
  }
}
