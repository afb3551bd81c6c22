package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against state that stays in use after a suspension although it may be stale. */
public final class SuspensionDetectorTest {

  @Test
  public void detectsSuspensionFromWallClockLead() {
    ManualClock monotonic = new ManualClock();
    ManualClock wallClock = new ManualClock();
    SuspensionDetector detector = new SuspensionDetector(monotonic, wallClock);
    monotonic.advanceMs(1_000);
    wallClock.advanceMs(1_100);
    assertEquals(detector.resumedAtMs(), Long.MIN_VALUE);
    wallClock.advanceMs(5_000);
    long resumedAtMs = monotonic.millis();
    assertEquals(detector.resumedAtMs(), resumedAtMs);
    monotonic.advanceMs(200);
    wallClock.advanceMs(200);
    assertEquals(detector.resumedAtMs(), resumedAtMs);
  }
}
