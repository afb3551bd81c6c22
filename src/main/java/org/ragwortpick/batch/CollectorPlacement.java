package org.ragwortpick.batch;

import java.util.Comparator;
import java.util.List;
import org.ragwortpick.policy.select.Rendezvous;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/**
 * Names the VM that gathers the pieces of a service. VMs that know the same ready VMs agree without
 * a message, and a lost VM moves only its own services.
 */
public final class CollectorPlacement {

  private CollectorPlacement() {}

  /**
   * Orders the VMs that may gather the pieces of a service.
   *
   * @param service name of the service
   * @param vms VMs that are known
   * @return ready VMs that serve callers, the preferred one first
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
