package org.ragwortpick.sync;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.rollout.VersionReport;
import org.testng.annotations.Test;

/** Guards against reports that a relay loses, repeats without end, or replaces by older ones. */
public final class VersionReportsTest {

  private static VersionReport report(String vm, long incarnation, long sequence) {
    return new VersionReport(vm, incarnation, sequence, "s", 1, false, 0, sequence, 0, List.of());
  }

  @Test
  public void relayPassesOnEachReportOnceAndItsOwnAlways() {
    VersionReports relay = new VersionReports("relay", 1, new ManualClock());
    relay.setOwn(() -> List.of(report("", 0, 0)));
    relay.receive(List.of(report("vm1", 1, 2)));
    assertEquals(relay.takeForSource().size(), 2);
    assertEquals(relay.takeForSource(), List.of(report("", 0, 0).from("relay", 1, 2)));
    relay.receive(List.of(report("vm1", 1, 1)));
    assertEquals(relay.takeForSource().size(), 1, "an overtaken report is passed on");
    relay.receive(List.of(report("vm1", 2, 1)));
    assertTrue(relay.takeForSource().contains(report("vm1", 2, 1)), "a restarted VM is ignored");
  }

  @Test
  public void reportsOfVmsThatAreGoneExpire() {
    ManualClock clock = new ManualClock();
    VersionReports leader = new VersionReports("leader", 1, clock);
    leader.receive(List.of(report("vm1", 1, 1)));
    assertEquals(leader.newest(), List.of(report("vm1", 1, 1)));
    clock.advanceMs(60_001);
    assertEquals(leader.newest(), List.of());
  }
}
