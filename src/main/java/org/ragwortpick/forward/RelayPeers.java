package org.ragwortpick.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/**
 * Chooses the VM that serves a request whose upstreams the local VM cannot reach: the less loaded
 * of two that are drawn at random, so that the VMs without a path do not all choose the same one.
 */
public final class RelayPeers {

  private final String vm;
  private final Supplier<List<VmRecord>> vms;
  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param vm name of the local VM
   * @param vms VMs in the local view
   * @param random source of random numbers
   */
  public RelayPeers(String vm, Supplier<List<VmRecord>> vms, RandomGenerator random) {
    this.vm = vm;
    this.vms = vms;
    this.random = random;
  }

  /**
   * Returns the name of the local VM.
   *
   * @return the name
   */
  String localVm() {
    return vm;
  }

  /**
   * Chooses a VM.
   *
   * @param tried names of VMs that were tried before
   * @return a ready entry VM that is not known to be without a path to upstreams, if there is one
   */
  Optional<VmRecord> choose(Set<String> tried) {
    List<VmRecord> candidates =
        vms.get().stream()
            .filter(peer -> peer.servesCallers() && peer.state() == VmState.READY)
            .filter(peer -> peer.reachesUpstreams() && !peer.vm().equals(vm))
            .filter(peer -> !tried.contains(peer.vm()))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    VmRecord first = candidates.get(random.nextInt(candidates.size()));
    VmRecord second = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(relativeLoad(second) < relativeLoad(first) ? second : first);
  }

  private static double relativeLoad(VmRecord peer) {
    return (double) peer.load() / Math.max(1, peer.processorPercent());
  }
}
