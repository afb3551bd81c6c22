package org.ragwortpick.sync;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import org.ragwortpick.common.HostPort;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against small VMs that get as many callers as large ones. */
public final class WeightedAddressesTest {

  private static final int VMS = 66;
  private static final int LIMIT = 64;
  private static final int CALLERS = 1_000;
  private static final double TOLERANCE = 0.2;

  /**
   * Processors of the two demanding deployments, and of one with so many VMs that a caller is told
   * few of them, for which only more callers give even load.
   */
  @DataProvider
  public static Object[][] processors() {
    IntUnaryOperator three = i -> i < 6 ? 96 : i < 36 ? 27 : 90;
    IntUnaryOperator two = i -> i < 8 ? 96 : 36;
    return new Object[][] {{three, VMS, CALLERS}, {two, 94, CALLERS}, {three, 400, 8 * CALLERS}};
  }

  @Test(dataProvider = "processors")
  public void loadPerProcessorIsEqual(IntUnaryOperator processor, int count, int callers) {
    List<VmRecord> vms = vms(count, processor);
    Map<HostPort, Double> load = load(vms, callers);
    double meanLoad = callers / vms.stream().mapToDouble(VmRecord::processorPercent).sum();
    for (VmRecord vm : vms) {
      double relative =
          load.getOrDefault(vm.callerAddress(), 0.0) / vm.processorPercent() / meanLoad;
      assertTrue(Math.abs(relative - 1) <= TOLERANCE, vm.vm() + " has a load of " + relative);
    }
  }

  /** Callers would otherwise all open new connections when one VM is restarted. */
  @Test
  public void addressesChangeLittleWhenAVmLeaves() {
    List<VmRecord> vms = vms(VMS, i -> i < 6 ? 96 : i < 36 ? 27 : 90);
    for (VmRecord leaving : List.of(vms.get(0), vms.get(20), vms.get(50))) {
      List<VmRecord> rest = vms.stream().filter(vm -> vm != leaving).toList();
      for (int caller = 0; caller < CALLERS; caller++) {
        Set<HostPort> changed = new HashSet<>(addresses(rest, caller));
        List<HostPort> before = addresses(vms, caller);
        before.forEach(changed::remove);
        assertTrue(changed.size() <= 1, "new addresses: " + changed);
        Set<HostPort> kept = new HashSet<>(before);
        kept.retainAll(addresses(rest, caller));
        assertTrue(kept.size() >= before.size() - 2, before.size() + " to " + kept.size());
      }
    }
  }

  /** Callers that ask anew would otherwise be sent to VMs that cannot serve them directly. */
  @Test
  public void vmsThatReachNoUpstreamAreNotNamedWhileOthersAre() {
    List<VmRecord> vms = new ArrayList<>(vms(9, i -> 30));
    for (int i = 0; i < 3; i++) {
      vms.set(i, vms.get(i).withReach(false));
    }
    assertEquals(addresses(vms, 1).size(), 6);
    vms.replaceAll(vm -> vm.withReach(false));
    assertEquals(addresses(vms, 1).size(), 9);
  }

  @Test
  public void enoughVmsAreNamedBesideOneLargeVm() {
    List<VmRecord> vms = vms(9, i -> i == 0 ? 1_600 : 30);
    for (int caller = 0; caller < CALLERS; caller++) {
      List<HostPort> addresses = addresses(vms, caller);
      assertTrue(addresses.size() >= 4, addresses.toString());
      assertEquals(new HashSet<>(addresses).size(), addresses.size());
    }
  }

  @Test
  public void equalOrUnknownProcessorsGiveTheSameAddresses() {
    List<VmRecord> unknown = vms(VMS, i -> 0);
    List<VmRecord> equal = vms(VMS, i -> 50);
    List<VmRecord> someUnknown = vms(VMS, i -> i % 2 * 50);
    for (int caller = 0; caller < CALLERS; caller++) {
      List<HostPort> addresses = addresses(unknown, caller);
      assertEquals(addresses.size(), LIMIT);
      assertEquals(addresses(equal, caller), addresses);
      assertEquals(addresses(someUnknown, caller), addresses);
    }
  }

  /** VMs that run control processes are sized for them and must not change what callers get. */
  @Test
  public void largerVmsWithControlProcessesGiveTheSameAddresses() {
    List<VmRecord> equal = vms(VMS, i -> 50);
    List<VmRecord> withControl = new ArrayList<>(vms(VMS, i -> i < 6 ? 96 : 50));
    for (int i = 0; i < 6; i++) {
      HostPort peer = new HostPort(withControl.get(i).peerAddress().host(), 7_601);
      withControl.add(
          new VmRecord("c" + i, 1, 1, "a", HostPort.NONE, peer, VmState.READY, 0, true, 0));
    }
    for (int caller = 0; caller < CALLERS; caller++) {
      assertEquals(addresses(withControl, caller), addresses(equal, caller));
    }
  }

  /** A VM that does not state its processor must neither be avoided nor overloaded. */
  @Test
  public void unknownProcessorCountsLikeTheAverage() {
    List<VmRecord> vms = vms(VMS, i -> i == 65 ? 0 : i % 2 == 0 ? 30 : 90);
    double load = load(vms, CALLERS).get(vms.get(65).callerAddress());
    double average = (double) CALLERS / VMS;
    assertTrue(Math.abs(load / average - 1) <= TOLERANCE, load + " of " + average);
  }

  @Test
  public void controlProcessTakesProcessorFromCallers() {
    List<VmRecord> vms = new ArrayList<>(vms(VMS, i -> i % 2 == 0 ? 30 : 90));
    HostPort peer = new HostPort(vms.get(0).peerAddress().host(), 7_601);
    vms.add(new VmRecord("c", 1, 1, "a", HostPort.NONE, peer, VmState.READY, 0, true, 0));
    Map<HostPort, Double> load = load(vms, CALLERS);
    double ratio = load.get(vms.get(0).callerAddress()) / load.get(vms.get(2).callerAddress());
    assertTrue(ratio > 0.6 && ratio < 0.8, "ratio " + ratio);
  }

  private static Map<HostPort, Double> load(List<VmRecord> vms, int callers) {
    Map<HostPort, Double> load = new HashMap<>();
    for (int caller = 0; caller < callers; caller++) {
      List<HostPort> addresses = addresses(vms, caller);
      addresses.forEach(address -> load.merge(address, 1.0 / addresses.size(), Double::sum));
    }
    return load;
  }

  private static List<HostPort> addresses(List<VmRecord> vms, int caller) {
    return new AddressResponses(() -> vms, null, () -> vms.get(0))
        .anyReady("10.9.%d.%d".formatted(caller / 200, caller % 200 + 1), LIMIT);
  }

  private static List<VmRecord> vms(int count, IntUnaryOperator processorPercent) {
    List<VmRecord> vms = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      HostPort caller = new HostPort("10.0.%d.%d".formatted(i / 100, 10 + i % 100), 8_080);
      HostPort peer = new HostPort(caller.host(), 7_602);
      vms.add(
          new VmRecord(
              peer.toString(),
              1,
              1,
              "a",
              caller,
              peer,
              VmState.READY,
              0,
              false,
              processorPercent.applyAsInt(i)));
    }
    return vms;
  }
}
