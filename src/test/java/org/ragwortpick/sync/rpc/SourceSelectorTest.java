package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.SyncIdentity.ControlVm;
import org.testng.annotations.Test;

/** Guards against a VM that stays with a lagging source while it reaches a better one. */
public final class SourceSelectorTest {

  private static final HostPort RELAY = address(9);

  private final FakeLeader leader = new FakeLeader(new FakeLeader.Committed(), () -> 0L);

  private final SourceSelector selector =
      new SourceSelector(
          new SyncIdentity(
              "e4",
              1,
              "dc1",
              address(4),
              address(4),
              List.of(
                  new ControlVm("c1", "dc1", address(1)),
                  new ControlVm("c2", "dc2", address(2)),
                  new ControlVm("c3", "dc3", address(3))),
              List.of(RELAY),
              0),
          leader,
          List::of);

  private static HostPort address(int port) {
    return new HostPort("10.0.0.1", port);
  }

  /** Lets all control VMs fail until the relay is polled. */
  private void fallBackToRelay() {
    while (!selector.nextSource().equals(RELAY)) {
      selector.recordFailure(selector.nextSource());
    }
  }

  @Test
  public void freshControlVmStaysTheSource() {
    for (int poll = 0; poll < 50; poll++) {
      assertEquals(selector.nextSource(), address(1));
      assertFalse(selector.recordSuccess(address(1), SourceQuality.FRESH));
    }
  }

  @Test
  public void everyControlVmIsTriedWhileRelayIsPolled() {
    fallBackToRelay();
    Set<Integer> tried = new TreeSet<>();
    for (int trial = 0; trial < 3; trial++) {
      assertEquals(selector.nextSource(), RELAY);
      assertTrue(selector.recordSuccess(RELAY, SourceQuality.FRESH));
      HostPort control = selector.nextSource();
      tried.add(control.port());
      assertFalse(selector.recordFailure(control), "the relay is polled at the regular time");
    }
    assertEquals(tried, Set.of(1, 2, 3));
  }

  @Test
  public void freshControlVmReplacesRelay() {
    fallBackToRelay();
    selector.recordSuccess(RELAY, SourceQuality.FRESH);
    HostPort control = selector.nextSource();
    selector.recordSuccess(control, SourceQuality.FRESH);
    assertEquals(selector.nextSource(), control);
  }

  @Test
  public void laggingControlVmIsReplacedByFreshOneOnly() {
    assertEquals(selector.nextSource(), address(1));
    assertTrue(selector.recordSuccess(address(1), SourceQuality.LAGGING));
    HostPort lagging = selector.nextSource();
    assertFalse(selector.recordSuccess(lagging, SourceQuality.LAGGING));
    assertEquals(selector.nextSource(), address(1));
    assertTrue(selector.recordSuccess(address(1), SourceQuality.LAGGING));
    HostPort fresh = selector.nextSource();
    assertFalse(selector.recordSuccess(fresh, SourceQuality.FRESH));
    assertEquals(selector.nextSource(), fresh);
  }

  /** Guards against a control VM that polls nothing but a leader that it cannot reach. */
  @Test
  public void sourceBeforeFailedTrialOfLeaderIsPolledNext() {
    leader.setLeadership(false, 1, "c1");
    SourceSelector ofControlVm =
        new SourceSelector(
            new SyncIdentity(
                "c2",
                1,
                "dc2",
                HostPort.NONE,
                address(2),
                List.of(
                    new ControlVm("c1", "dc1", address(1)),
                    new ControlVm("c2", "dc2", address(2)),
                    new ControlVm("c3", "dc3", address(3))),
                List.of(),
                0),
            leader,
            List::of);
    assertEquals(ofControlVm.nextSource(), address(1));
    ofControlVm.recordFailure(address(1));
    for (int round = 0; round < 3; round++) {
      assertEquals(ofControlVm.nextSource(), address(3), "round " + round);
      ofControlVm.recordSuccess(address(3), SourceQuality.FRESH);
      assertEquals(ofControlVm.nextSource(), address(1), "round " + round);
      ofControlVm.recordFailure(address(1));
    }
  }
}
