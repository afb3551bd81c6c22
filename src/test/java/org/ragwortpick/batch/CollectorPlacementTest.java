package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.Test;

/** Guards against VMs that choose different collectors, or one that cannot collect pieces. */
public final class CollectorPlacementTest {

  private static VmRecord vm(int number, VmState state, boolean entry) {
    return vm(number, state, entry, 0);
  }

  private static VmRecord vm(int number, VmState state, boolean entry, int processorPercent) {
    HostPort peer = new HostPort("10.0.0." + number, 7_700);
    HostPort callers = entry ? new HostPort("10.0.0." + number, 80) : HostPort.NONE;
    return new VmRecord(
        peer.toString(), 1, 1, "dc", callers, peer, state, 0, !entry, processorPercent);
  }

  @Test
  public void vmThatReachesNoUpstreamCollectsOnlyIfNoneDoes() {
    List<VmRecord> vms = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      vms.add(vm(i, VmState.READY, true).withReach(i > 3));
    }
    for (int i = 0; i < 100; i++) {
      List<VmRecord> order = CollectorPlacement.order("service-" + i, vms);
      assertEquals(order.size(), 6);
      assertTrue(order.stream().allMatch(VmRecord::reachesUpstreams));
    }
    List<VmRecord> partitioned = vms.stream().map(vm -> vm.withReach(false)).toList();
    assertEquals(CollectorPlacement.order("service", partitioned).size(), 9);
  }

  @Test
  public void losingVmMovesOnlyItsServices() {
    List<VmRecord> vms = new ArrayList<>();
    for (int i = 1; i <= 9; i++) {
      vms.add(vm(i, VmState.READY, true));
    }
    vms.add(vm(10, VmState.READY, false));
    vms.add(vm(11, VmState.LEAVING, true));
    Set<String> used = new TreeSet<>();
    for (int i = 0; i < 100; i++) {
      String service = "service-" + i;
      List<VmRecord> order = CollectorPlacement.order(service, vms);
      assertEquals(order.size(), 9);
      used.add(order.get(0).vm());
      List<VmRecord> without = new ArrayList<>(vms);
      without.remove(order.get(0));
      assertEquals(CollectorPlacement.order(service, without).get(0), order.get(1));
    }
    assertEquals(used.size(), 9);
  }

  @Test
  public void smallVmCollectsOnlyWithoutLargeOnes() {
    List<VmRecord> vms = new ArrayList<>();
    for (int i = 1; i <= 64; i++) {
      vms.add(vm(i, VmState.READY, true, i % 8 == 0 ? 96 - i % 3 : 36));
    }
    Set<String> used = new TreeSet<>();
    for (int i = 0; i < 100; i++) {
      List<VmRecord> order = CollectorPlacement.order("service-" + i, vms);
      assertEquals(order.size(), 64);
      assertTrue(order.subList(0, 8).stream().allMatch(vm -> vm.processorPercent() > 90));
      used.add(order.get(0).vm());
    }
    assertEquals(used.size(), 8);
  }
}
