package org.ragwortpick.sync.allowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.Stamp;
import org.ragwortpick.sync.directory.WarmFlags;
import org.ragwortpick.sync.view.SyncedConfiguration;
import org.testng.annotations.Test;

/** Guards against VMs that never get a grant and against grants before old leases have expired. */
public final class AllowanceCoordinatorTest {

  private static final int VMS = 4;

  private final ManualClock clock = new ManualClock();
  private final SoftTable table = new SoftTable();
  private long stampNumber;
  private final AllowanceCoordinator coordinator =
      new AllowanceCoordinator(
          clock,
          table,
          new WarmFlags(table, new SyncedConfiguration(clock)),
          () -> new Stamp(1, ++stampNumber));

  @Test
  public void everyVmGetsAGrantIfTheTotalIsOne() {
    table.mergeFromPoller(
        new SoftRecord.OfUpstream(
            TestUpstreams.upstream("u1", 1, 1, UpstreamState.COLD, 0, 1, 8), "e1", 1, false),
        "e1");
    coordinator.startTerm();
    coordinator.tick(Configuration.EMPTY);
    assertEquals(demand(0), Optional.empty(), "leases of the previous leader may be in use");
    clock.advanceMs(8_000);
    Set<String> served = new HashSet<>();
    for (int i = 0; i < 60; i++) {
      coordinator.tick(Configuration.EMPTY);
      for (int vm = 0; vm < VMS; vm++) {
        demand(vm).ifPresent(grant -> served.add(grant.holder()));
      }
      clock.advanceMs(500);
    }
    assertEquals(served.size(), VMS, "VMs served: " + served);
    assertTrue(coordinator.total("u1").getAsInt() == 1, "the cold upstream must not ramp up");
  }

  private Optional<Grant> demand(int vm) {
    return coordinator.handleDemand(
        new Demand("e" + vm, 1, clock.millis(), "u1", 1, 2, Stamp.NONE, 0, 0, Stamp.NONE, false),
        true);
  }
}
