package org.ragwortpick.batch;

import java.util.Comparator;
import java.util.List;
import org.ragwortpick.policy.select.Rendezvous;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/**
 * Assigns the collector of each service to a VM by rendezvous hashing, with preference for VMs with
 * a large processor: all calls of a service pass through its collector, so their cost grows with
 * the deployment and not with the VM. VMs that see the same set of ready VMs agree without
 * communicating, and the loss of a VM moves only the services assigned to it.
 */
public final class CollectorPlacement {

  /** Part of the largest processor from which a VM counts as one with a large processor. */
  private static final double LARGE_PROCESSOR_SHARE = 0.5;

  private CollectorPlacement() {}

  /**
   * Orders the VMs that may collect the pieces of a service.
   *
   * @param service name of the service
   * @param vms VMs in the local view
   * @return ready entry VMs that reach upstreams, the preferred collector first
   */
  public static List<VmRecord> order(String service, List<VmRecord> vms) {
    List<VmRecord> ready =
        VmRecord.preferReaching(
            vms.stream().filter(vm -> vm.servesCallers() && vm.state() == VmState.READY).toList());
    double largePercent =
        LARGE_PROCESSOR_SHARE * ready.stream().mapToInt(VmRecord::processorPercent).max().orElse(0);
    return ready.stream()
        .map(vm -> new Ranked(vm, Rendezvous.score(service, vm.vm())))
        .sorted(
            Comparator.comparing((Ranked ranked) -> ranked.vm.processorPercent() < largePercent)
                .thenComparing(Comparator.comparingLong(Ranked::score).reversed()))
        .map(Ranked::vm)
        .toList();
  }

  private record Ranked(VmRecord vm, long score) {}
}
