package org.ragwortpick.vm;

import java.time.Clock;
import java.util.function.Supplier;
import org.ragwortpick.entry.WorkGate;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmState;

/**
 * Work gate of a VM. It closes when the VM drains, and when its data centre has been out of service
 * for longer than callers may keep an address response.
 */
final class TakenOutGate implements WorkGate {

  private static final long SERVING_MS =
      SyncTimings.ADDRESS_VALIDITY_MS + SyncTimings.ADDRESS_MARGIN_MS;

  private final Clock clock;
  private final ConfigurationView view;
  private final Supplier<VmState> state;
  private final String dataCentre;

  private long outSinceMs;

  /**
   * Creates the gate.
   *
   * @param clock monotonic clock
   * @param view configuration view
   * @param state life cycle state of the VM
   * @param dataCentre data centre of the VM
   */
  TakenOutGate(Clock clock, ConfigurationView view, Supplier<VmState> state, String dataCentre) {
    this.clock = clock;
    this.view = view;
    this.state = state;
    this.dataCentre = dataCentre;
  }

  @Override
  public synchronized boolean mayStartWork() {
    VmState current = state.get();
    if (current != VmState.READY && current != VmState.LEAVING) {
      return false;
    }
    if (view.current().takesWork(dataCentre)) {
      outSinceMs = 0;
      return true;
    }
    if (outSinceMs == 0) {
      outSinceMs = clock.millis();
    }
    return clock.millis() - outSinceMs < SERVING_MS;
  }
}
