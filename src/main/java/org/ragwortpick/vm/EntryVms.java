package org.ragwortpick.vm;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.ragwortpick.batch.CollectorPlacement;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.policy.limit.SenderRank;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/** Entry VMs of the deployment, as the local VM knows them. */
final class EntryVms {

  private final VmDirectory directory;
  private final Supplier<Configuration> configuration;

  /**
   * Creates the view.
   *
   * @param directory VMs of the deployment
   * @param configuration supplies the configuration in force
   */
  EntryVms(VmDirectory directory, Supplier<Configuration> configuration) {
    this.directory = directory;
    this.configuration = configuration;
  }

  /**
   * Lists the VMs that serve callers.
   *
   * @return their names, whatever their state
   */
  List<String> names() {
    return directory.vms().stream().filter(VmRecord::servesCallers).map(VmRecord::vm).toList();
  }

  private List<String> readyNames(Predicate<VmRecord> condition) {
    return directory.vms().stream()
        .filter(vm -> vm.servesCallers() && vm.state() == VmState.READY)
        .filter(condition)
        .map(VmRecord::vm)
        .toList();
  }

  /**
   * Ranks a VM among those that may send to a limited upstream: first those of its data centre,
   * which prefer it. Only the preferred collector calls an upstream of a stage service.
   *
   * @param vm name of the VM
   * @param upstream the upstream
   * @return its rank
   */
  SenderRank rankAmongSenders(String vm, Upstream upstream) {
    boolean isStage =
        configuration
            .get()
            .routingTable()
            .flatMap(table -> table.service(upstream.service()))
            .flatMap(ServiceProfile::batching)
            .isPresent();
    if (isStage) {
      return SenderRank.in(
          vm,
          CollectorPlacement.order(upstream.service(), directory.vms()).stream()
              .map(VmRecord::vm)
              .limit(1)
              .toList());
    }
    return SenderRank.nearFirst(
        upstream.id(),
        vm,
        readyNames(member -> member.dataCentre().equals(upstream.dataCentre())),
        readyNames(member -> !member.dataCentre().equals(upstream.dataCentre())));
  }
}
