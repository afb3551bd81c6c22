package org.ragwortpick.policy.admission;

import static org.testng.Assert.assertEquals;

import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/** Guards against amounts that grow when the scale of the counts is reset. */
public final class DecayingCountsTest {

  private static final long LONG_TIME_MS = 600_000;

  @Test
  public void amountsDecayOverAnyTime() {
    ManualClock clock = new ManualClock();
    DecayingCounts<String> counts = new DecayingCounts<>(clock);
    counts.add("a", 100);
    clock.advanceMs(LONG_TIME_MS);
    assertEquals(counts.get("a"), 0.0, 0.001);
    counts.add("a", 100);
    clock.advanceMs(LONG_TIME_MS);
    assertEquals(counts.total(), 0.0, 0.001);
    counts.add("a", 8);
    assertEquals(counts.get("a"), 8.0, 0.001);
  }
}
