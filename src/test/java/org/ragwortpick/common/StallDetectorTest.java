package org.ragwortpick.common;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against trust in what a process reads after it did not run for a while. */
public final class StallDetectorTest {

  private static final long SPAN_MS = 1_000;

  private final ManualClock monotonic = new ManualClock();
  private final ManualClock wall = new ManualClock();
  private final StallDetector detector =
      new StallDetector(monotonic, new SuspensionDetector(monotonic, wall));

  private void run(long durationMs) {
    for (long t = 0; t < durationMs; t += StallDetector.TICK_INTERVAL_MS) {
      monotonic.advanceMs(StallDetector.TICK_INTERVAL_MS);
      wall.advanceMs(StallDetector.TICK_INTERVAL_MS);
      detector.tick();
    }
  }

  @Test
  public void stallIsSeenBeforeTheFirstTickAfterItAndForgottenLater() {
    run(5_000);
    assertFalse(detector.stalledWithin(SPAN_MS));
    monotonic.advanceMs(StallDetector.MAX_GAP_MS + 1);
    wall.advanceMs(StallDetector.MAX_GAP_MS + 1);
    assertTrue(detector.stalledWithin(SPAN_MS));
    run(SPAN_MS);
    assertTrue(detector.stalledWithin(SPAN_MS));
    run(StallDetector.TICK_INTERVAL_MS);
    assertFalse(detector.stalledWithin(SPAN_MS));
  }

  @Test
  public void suspensionDuringWhichTheMonotonicClockStandsStillIsSeen() {
    run(5_000);
    wall.advanceMs(4_000);
    assertTrue(detector.stalledWithin(SPAN_MS));
    run(2 * SPAN_MS);
    assertFalse(detector.stalledWithin(SPAN_MS));
  }
}
