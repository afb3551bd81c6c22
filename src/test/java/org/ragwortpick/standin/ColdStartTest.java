package org.ragwortpick.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.ServiceKind;
import org.testng.annotations.Test;

/** Guards against a stand-in that accepts more requests in cold start than its cold limit. */
public final class ColdStartTest {

  private static final UpstreamSpec SPEC =
      new UpstreamSpec(
          "u",
          ServiceKind.PLAIN,
          "s",
          "d",
          new HostPort("127.0.0.1", 1),
          8,
          2,
          3_000,
          10,
          0,
          "",
          "",
          List.of(),
          false,
          0);

  @Test
  public void requestAboveColdLimitOverloads() {
    ManualClock clock = new ManualClock();
    ColdStart coldStart = new ColdStart(clock, SPEC);
    assertTrue(coldStart.tryAcquireSlot());
    assertTrue(coldStart.tryAcquireSlot());
    assertFalse(coldStart.tryAcquireSlot());
    assertEquals(coldStart.overloads(), 1);
    assertEquals(coldStart.peakColdInFlight(), 3);
    clock.advanceMs(3_500);
    assertTrue(coldStart.isCold(), "the cold start begins again after an overload");
  }

  @Test
  public void warmUpstreamAdmitsAllSlots() {
    ManualClock clock = new ManualClock();
    ColdStart coldStart = new ColdStart(clock, SPEC);
    clock.advanceMs(3_000);
    for (int i = 0; i < 8; i++) {
      assertTrue(coldStart.tryAcquireSlot());
    }
    assertEquals(coldStart.overloads(), 0);
  }
}
