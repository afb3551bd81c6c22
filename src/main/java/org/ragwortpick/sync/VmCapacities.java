package org.ragwortpick.sync;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Processor that each VM has for callers, in percent of a core. A VM whose processor is unknown
 * counts like the average of the others, and a control process on a VM takes a part of its
 * processor. Immutable.
 */
final class VmCapacities {

  /** Processor that a control process needs, in percent of a core. */
  private static final int CONTROL_PERCENT = 9;

  /** Smallest part of its processor with which a VM counts, so that it gets some callers. */
  private static final double MIN_PART = 0.5;

  private final double averagePercent;
  private final Set<String> controlHosts;
  private final boolean equal;

  /**
   * Evaluates the VMs.
   *
   * @param entryVms VMs among which callers are divided
   * @param allVms all VMs of the deployment, including those that run control replicas only
   */
  VmCapacities(List<VmRecord> entryVms, List<VmRecord> allVms) {
    this.averagePercent =
        entryVms.stream()
            .mapToInt(VmRecord::processorPercent)
            .filter(percent -> percent > 0)
            .average()
            .orElse(0);
    this.controlHosts =
        allVms.stream()
            .filter(vm -> vm.control() || !vm.servesCallers())
            .map(vm -> vm.peerAddress().host())
            .collect(Collectors.toSet());
    this.equal =
        entryVms.stream()
                .filter(vm -> !controlHosts.contains(vm.peerAddress().host()))
                .mapToDouble(this::processorPercent)
                .distinct()
                .count()
            <= 1;
  }

  /**
   * Returns whether no known processor differs from another one. VMs with a control process are
   * left out, since their processor is sized for it.
   *
   * @return true also if no processor is known
   */
  boolean areEqual() {
    return equal;
  }

  private double processorPercent(VmRecord vm) {
    return vm.processorPercent() > 0 ? vm.processorPercent() : averagePercent;
  }

  /**
   * Returns the processor that a VM has for callers.
   *
   * @param vm one of the VMs among which callers are divided
   * @return processor in percent of a core
   */
  double ofPercent(VmRecord vm) {
    double percent = processorPercent(vm);
    return controlHosts.contains(vm.peerAddress().host())
        ? Math.max(MIN_PART * percent, percent - CONTROL_PERCENT)
        : percent;
  }
}
