package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.LongSupplier;

/** Clock of a simulated process, which runs at its own rate. */
final class RatedClock extends Clock {

  private static final long FIRST_MS = 1_000_000;

  private final LongSupplier simulatedMs;
  private final long startMs;
  private final double rate;

  RatedClock(LongSupplier simulatedMs, double rate) {
    this.simulatedMs = simulatedMs;
    this.startMs = simulatedMs.getAsLong();
    this.rate = rate;
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
    return Instant.ofEpochMilli(FIRST_MS + (long) ((simulatedMs.getAsLong() - startMs) * rate));
  }
}
