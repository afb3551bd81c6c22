package org.ragwortpick.batch;

import java.util.Comparator;
import java.util.List;
import org.ragwortpick.policy.select.Rendezvous;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/**
 * Assigns the collector of each service to a VM by rendezvous hashing. VMs that see the same set of
 * ready VMs agree without communicating, and the loss of a VM moves only the services assigned to
 * it.
 */
public final class CollectorPlacement {

  private CollectorPlacement() {}

  /**
   * Orders the VMs that may collect the pieces of a service.
   *
   * @param service name of the service
   * @param vms VMs in the local view
   * @return ready entry VMs, the preferred collector first
   */
  public static List<VmRecord> order(String service, List<VmRecord> vms) {
    return vms.stream()
        .filter(vm -> vm.servesCallers() && vm.state() == VmState.READY)
        .sorted(
            Comparator.comparingLong((VmRecord vm) -> Rendezvous.score(service, vm.vm()))
                .reversed())
        .toList();
  }
}
