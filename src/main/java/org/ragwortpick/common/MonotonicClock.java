package org.ragwortpick.common;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.LongSupplier;

/**
 * Clock that never runs backwards within a process.
 *
 * <p>Its instants start at an arbitrary origin, so they are only compared with each other. Leases
 * and timeouts are measured with it because the wall clock may be stepped.
 */
public final class MonotonicClock extends Clock {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time returned at the start of the process; positive, so that all instants are positive. */
  private static final long ORIGIN_MS = 1_000_000L;

  private final LongSupplier timerNs;
  private final long startNs;

  /** Creates a clock based on {@link System#nanoTime()}; no other code reads that timer. */
  public MonotonicClock() {
    this(System::nanoTime);
  }

  /**
   * Creates a clock.
   *
   * @param timerNs timer in nanoseconds with an arbitrary origin, which may be negative
   */
  MonotonicClock(LongSupplier timerNs) {
    this.timerNs = timerNs;
    this.startNs = timerNs.getAsLong();
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
    return Instant.ofEpochMilli(ORIGIN_MS).plusNanos(elapsedNs());
  }

  @Override
  public long millis() {
    return ORIGIN_MS + elapsedNs() / NANOS_PER_MILLI;
  }

  private long elapsedNs() {
    return timerNs.getAsLong() - startNs;
  }
}
