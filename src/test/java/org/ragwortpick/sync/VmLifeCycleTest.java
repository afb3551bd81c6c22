package org.ragwortpick.sync;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.view.SyncedConfiguration;
import org.testng.annotations.Test;

/** Guards against a VM that stops while callers may still use its address or await responses. */
public final class VmLifeCycleTest {

  private static final HostPort ADDRESS = new HostPort("10.0.0.1", 8_080);

  private final ManualClock clock = new ManualClock();
  private final SyncedConfiguration view = new SyncedConfiguration(clock);
  private final AtomicInteger inFlight = new AtomicInteger();
  private final List<VmRecord> published = new ArrayList<>();
  private final VmLifeCycle lifeCycle =
      new VmLifeCycle(
          new SyncIdentity("e1", 7, "norte-a", ADDRESS, ADDRESS, List.of(), List.of(), 0),
          clock,
          view,
          inFlight::get,
          published::add);

  @Test
  public void servesUntilAddressesExpireAndRequestsEnd() {
    lifeCycle.tick();
    assertEquals(lifeCycle.state(), VmState.STARTING);
    FakeLeader.Committed committed = new FakeLeader.Committed();
    view.accept(committed.deltaSince(0, 0), clock.millis());
    lifeCycle.tick();
    assertEquals(lifeCycle.state(), VmState.READY);
    inFlight.set(3);
    lifeCycle.requestStop();
    clock.advanceMs(4_999);
    lifeCycle.requestStop();
    lifeCycle.tick();
    assertEquals(lifeCycle.state(), VmState.LEAVING);
    clock.advanceMs(1);
    lifeCycle.tick();
    assertEquals(lifeCycle.state(), VmState.DRAINING);
    inFlight.set(0);
    lifeCycle.tick();
    assertEquals(lifeCycle.state(), VmState.STOPPED);
    for (int i = 0; i < published.size(); i++) {
      assertEquals(published.get(i).sequence(), i + 1, "each change needs a higher sequence");
    }
  }

  @Test
  public void addressesExcludeLeavingVmsAndLocalVmWithoutView() {
    VmRecord local = record("e1", "norte-a", VmState.READY, 4, 1);
    List<VmRecord> vms =
        List.of(
            local,
            record("e2", "norte-b", VmState.READY, 0, 2),
            record("e3", "norte-a", VmState.READY, 0, 3),
            record("e4", "norte-a", VmState.LEAVING, 0, 4));
    ManualClock time = new ManualClock();
    SyncedConfiguration current = new SyncedConfiguration(time);
    FakeLeader.Committed committed = new FakeLeader.Committed();
    current.accept(committed.deltaSince(0, 0), time.millis());
    AddressResponses responses = new AddressResponses(() -> vms, current, () -> local);
    assertEquals(ports(responses), List.of(3, 1, 2));
    time.advanceMs(SyncTimings.CONFIG_LEASE_MS);
    assertEquals(ports(responses), List.of(3, 2));
  }

  @Test
  public void everyVmIsNamedToSomeCallersIfThereAreMoreThanTheLimit() {
    List<VmRecord> vms = new ArrayList<>();
    for (int i = 1; i <= 66; i++) {
      vms.add(record("10.0.0." + i, "norte-a", VmState.READY, 0, i));
    }
    AddressResponses responses = new AddressResponses(() -> vms, null, () -> vms.get(0));
    Map<Integer, Integer> callersByPort = new TreeMap<>();
    for (int caller = 0; caller < 300; caller++) {
      List<HostPort> addresses = responses.anyReady("10.9.0." + caller, 64);
      assertEquals(addresses.size(), 64);
      assertEquals(responses.anyReady("10.9.0." + caller, 64), addresses);
      addresses.forEach(address -> callersByPort.merge(address.port(), 1, Integer::sum));
    }
    assertEquals(callersByPort.size(), 66);
    assertTrue(Collections.min(callersByPort.values()) >= 200, callersByPort.toString());
  }

  private static List<Integer> ports(AddressResponses responses) {
    return responses.preferredFor("caller").addresses().stream().map(HostPort::port).toList();
  }

  private static VmRecord record(String vm, String dataCentre, VmState state, int load, int port) {
    HostPort address = new HostPort("10.0.0.1", port);
    return new VmRecord(vm, 1, 1, dataCentre, address, address, state, load, false, 0);
  }
}
