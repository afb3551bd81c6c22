package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;

import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against a wait that counts as zero because no request of the same priority measured it.
 */
public final class QueueWaitsTest {

  private final ManualClock clock = new ManualClock();
  private final QueueWaits waits = new QueueWaits(clock);

  @Test
  public void waitOfMoreUrgentRequestsIsLowerBound() {
    waits.put("a", 20, 400);
    waits.put("a", 10, 300);
    waits.put("b", 10, 900);
    assertEquals(waits.expectedWaitMs("a", 9), 0);
    assertEquals(waits.expectedWaitMs("a", 10), 300);
    assertEquals(waits.expectedWaitMs("a", 15), 300);
    assertEquals(waits.expectedWaitMs("a", 30), 400);
    clock.advanceMs(1_501);
    assertEquals(waits.expectedWaitMs("a", 30), 0);
  }
}
