package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Guards against wrong durations when timer values are negative or overflow, and rounding. */
public final class MonotonicClockTest {

  @Test
  public void measuresAcrossTimerOverflowWithFullPrecision() {
    AtomicLong ticker = new AtomicLong(Long.MAX_VALUE - 500);
    MonotonicClock clock = new MonotonicClock(ticker::get);
    long startMs = clock.millis();
    Instant start = clock.instant();
    ticker.addAndGet(2_000_300);
    assertEquals(clock.millis() - startMs, 2);
    assertEquals(Duration.between(start, clock.instant()).toNanos(), 2_000_300);
  }
}
