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

  /** Offset added so that instants are positive from the start of the process. */
  private static final long ORIGIN_MS = 1_000_000L;

  private final LongSupplier tickerNs;
  private final long startNs;

  /** Creates the clock on the timer of the runtime, which nothing else reads. */
  public MonotonicClock() {
    this(System::nanoTime);
  }

  /**
   * Creates a clock.
   *
   * @param tickerNs timer in nanoseconds with any origin, also a negative one
   */
  MonotonicClock(LongSupplier tickerNs) {
    this.tickerNs = tickerNs;
    this.startNs = tickerNs.getAsLong();
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
    return tickerNs.getAsLong() - startNs;
  }
}
