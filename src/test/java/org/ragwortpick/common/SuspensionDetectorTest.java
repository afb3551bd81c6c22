package org.ragwortpick.common;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against a process that wakes from a suspension and trusts what it knew before. */
public final class SuspensionDetectorTest {

  @Test
  public void aLeadOfTheTimeOfDayIsASuspension() {
    ManualClock monotonic = new ManualClock();
    ManualClock timeOfDay = new ManualClock();
    SuspensionDetector detector = new SuspensionDetector(monotonic, timeOfDay);
    monotonic.advanceMs(1_000);
    timeOfDay.advanceMs(1_100);
    assertEquals(detector.resumedAtMs(), Long.MIN_VALUE);
    timeOfDay.advanceMs(5_000);
    long resumedAtMs = monotonic.millis();
    assertEquals(detector.resumedAtMs(), resumedAtMs);
    monotonic.advanceMs(200);
    timeOfDay.advanceMs(200);
    assertEquals(detector.resumedAtMs(), resumedAtMs);
  }
}
