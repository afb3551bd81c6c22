package org.ragwortpick.common;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicLong;

/** Clock that advances only when a test advances it. */
public final class ManualClock extends Clock {

  private static final long START_MS = 1_000_000L;

  private final AtomicLong nowMs = new AtomicLong(START_MS);

  /** Moves the clock forward by the given number of milliseconds. */
  public void advanceMs(long deltaMs) {
    nowMs.addAndGet(deltaMs);
  }

  @Override
  public ZoneId getZone() {
    return ZoneOffset.UTC;
  }

  @Override
  public Clock withZone(ZoneId zone) {
    return this;
  }

  @Override
  public Instant instant() {
    return Instant.ofEpochMilli(nowMs.get());
  }
}
