package org.ragwortpick.vm;

import java.time.Clock;
import java.util.function.Supplier;
import org.ragwortpick.entry.WorkGate;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmState;

/**
 * Work gate of a VM. It closes when the VM drains, and when its data centre has been taken out for
 * longer than callers may use an address response.
 */
final class TakenOutGate implements WorkGate {

  private static final long GRACE_MS =
      SyncTimings.ADDRESS_VALIDITY_MS + SyncTimings.ADDRESS_MARGIN_MS;

  private final Clock clock;
  private final ConfigurationView configurationView;
  private final Supplier<VmState> state;
  private final String dataCentre;

  private long takenOutSinceMs;

  /**
   * Creates the gate.
   *
   * @param clock monotonic clock
   * @param configurationView configuration view
   * @param state supplies the life cycle state of the VM
   * @param dataCentre data centre of the VM
   */
  TakenOutGate(
      Clock clock,
      ConfigurationView configurationView,
      Supplier<VmState> state,
      String dataCentre) {
    this.clock = clock;
    this.configurationView = configurationView;
    this.state = state;
    this.dataCentre = dataCentre;
  }

  @Override
  public synchronized boolean mayStartWork() {
    VmState current = state.get();
    if (current != VmState.READY && current != VmState.LEAVING) {
      return false;
    }
    if (configurationView.current().takesWork(dataCentre)) {
      takenOutSinceMs = 0;
      return true;
    }
    if (takenOutSinceMs == 0) {
      takenOutSinceMs = clock.millis();
    }
    return clock.millis() - takenOutSinceMs < GRACE_MS;
  }
}
