package org.ragwortpick.vm;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against records of streams that go to VMs without a store, or nowhere after a start. */
public final class ControlVmsTest {

  private static final HostPort SEED = new HostPort("10.0.0.9", 7_000);

  private final List<VmRecord> directory = new ArrayList<>();
  private final ControlVms controlVms = new ControlVms(() -> directory, () -> List.of(SEED));

  @BeforeMethod
  public void clearDirectory() {
    directory.clear();
  }

  private static VmRecord vm(int number, boolean control) {
    HostPort address = new HostPort("10.0.0.1", 7_000 + number);
    return new VmRecord(
        address.toString(), 1, 1, "a", HostPort.NONE, address, VmState.READY, 0, control, 0);
  }

  @Test
  public void controlVmsOfTheDirectoryAreUsed() {
    directory.add(vm(1, true));
    directory.add(vm(2, false));
    directory.add(vm(3, true));
    assertEquals(
        controlVms.get(),
        List.of(new HostPort("10.0.0.1", 7_001), new HostPort("10.0.0.1", 7_003)));
  }

  @Test
  public void seedsAreUsedWhileNoControlVmIsKnown() {
    directory.add(vm(2, false));
    assertEquals(controlVms.get(), List.of(SEED));
  }
}
