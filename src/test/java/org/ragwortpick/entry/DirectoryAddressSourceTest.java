package org.ragwortpick.entry;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.Test;

/** Guards against callers that are sent to VMs that leave or to data centres that are out. */
public final class DirectoryAddressSourceTest {

  private static VmRecord vm(int number, String dataCentre, VmState state, int load) {
    HostPort address = new HostPort("10.0.0." + number, 80);
    return new VmRecord("vm-" + number, 1, 1, dataCentre, address, address, state, load);
  }

  @Test
  public void listsReadyVmsOfDataCentresInServiceOwnFirst() {
    EntryFakes fakes = new EntryFakes();
    fakes.takeOut("dc-3");
    List<VmRecord> vms =
        List.of(
            vm(1, "dc-2", VmState.READY, 0),
            vm(2, "dc-1", VmState.READY, 90),
            vm(3, "dc-1", VmState.LEAVING, 0),
            vm(4, "dc-3", VmState.READY, 0));
    DirectoryAddressSource source =
        new DirectoryAddressSource(() -> vms, fakes, "dc-1", new Random(1));
    assertEquals(
        source.addresses().addresses(),
        List.of(new HostPort("10.0.0.2", 80), new HostPort("10.0.0.1", 80)));
  }
}
