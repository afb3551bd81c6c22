package org.ragwortpick.sync;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Identity of the local VM and the VMs that it may poll.
 *
 * @param vm unique name
 * @param incarnation number that increases with each start of the process, such as its start time
 * @param dataCentre data centre in which the VM runs
 * @param callerAddress address for callers; {@link HostPort#NONE} if the VM serves none
 * @param peerAddress address for other VMs
 * @param controlVms control VMs, including the local VM if it is one
 * @param relays peer addresses of other entry VMs
 * @param processorPercent processor of the local VM in percent of a core; 0 if it is not known
 */
public record SyncIdentity(
    String vm,
    long incarnation,
    String dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    List<ControlVm> controlVms,
    List<HostPort> relays,
    int processorPercent) {

  /** Value of the processor of a VM whose settings do not state it. */
  public static final int UNKNOWN_PROCESSOR_PERCENT = 0;

  /** Copies the lists. */
  public SyncIdentity {
    controlVms = List.copyOf(controlVms);
    relays = List.copyOf(relays);
  }

  /**
   * Tells whether the local VM runs control replicas.
   *
   * @return whether the control VMs include it
   */
  public boolean isControl() {
    return controlVms.stream().anyMatch(control -> control.vm().equals(vm));
  }

  /**
   * Control VM named in the settings or the directory.
   *
   * @param vm unique name
   * @param dataCentre data centre in which it runs; empty if unknown
   * @param peerAddress address for other VMs
   */
  public record ControlVm(String vm, String dataCentre, HostPort peerAddress) {}
}
