package org.ragwortpick.sync;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;

/** Selects the addresses that callers should use. */
public final class AddressResponses {

  /**
   * Multiplier that mixes the bits of a hash, so that similar caller names give different orders.
   */
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final int HASH_SHIFT = 32;

  private final VmDirectory vms;
  private final ConfigurationView view;
  private final Supplier<VmRecord> local;

  /**
   * Creates the address selection of the local VM.
   *
   * @param vms VM directory
   * @param view configuration view
   * @param local record of the local VM
   */
  public AddressResponses(VmDirectory vms, ConfigurationView view, Supplier<VmRecord> local) {
    this.vms = vms;
    this.view = view;
    this.local = local;
  }

  /**
   * Lists the ready VMs of data centres that take work, ordered by local data centre first, then by
   * load, then by a hash that differs between callers. A VM whose view is not in force omits
   * itself.
   *
   * @param caller name or address of the caller
   * @return the addresses, preferred ones first
   */
  public AddressResponse preferredFor(String caller) {
    VmRecord self = local.get();
    boolean inForce = view.isInForce();
    List<HostPort> addresses =
        VmRecord.preferReaching(
                vms.vms().stream()
                    .filter(vm -> vm.state() == VmState.READY && vm.servesCallers())
                    .toList())
            .stream()
            .filter(vm -> view.current().takesWork(vm.dataCentre()))
            .filter(vm -> inForce || !vm.vm().equals(self.vm()))
            .sorted(
                Comparator.comparing((VmRecord vm) -> !vm.dataCentre().equals(self.dataCentre()))
                    .thenComparingInt(VmRecord::load)
                    .thenComparingLong(vm -> callerOrder(caller, vm.vm())))
            .map(VmRecord::callerAddress)
            .toList();
    return new AddressResponse(addresses, SyncTimings.ADDRESS_VALIDITY_MS / 1_000);
  }

  /**
   * Lists ready VMs that serve callers, regardless of their data centre, for a deployment in which
   * only upstreams are taken out of service. If there are more VMs than the limit, each caller gets
   * a selection of its own, so that every VM is named to some callers, and one that changes little
   * with the VMs, so that callers keep their connections. Where the processors of the VMs differ, a
   * VM is named to callers in proportion to its processor. VMs that reach no upstream are left out
   * while others remain.
   *
   * @param caller name or address of the caller
   * @param limit largest number of addresses
   * @return the addresses
   */
  public List<HostPort> anyReady(String caller, int limit) {
    List<VmRecord> all = vms.vms();
    List<VmRecord> ready =
        VmRecord.preferReaching(
            all.stream().filter(vm -> vm.state() == VmState.READY && vm.servesCallers()).toList());
    VmCapacities capacities = new VmCapacities(ready, all);
    List<VmRecord> selected =
        capacities.areEqual()
            ? inCallerOrder(caller, ready, limit)
            : WeightedVmSample.select(caller, ready, capacities::ofPercent, limit);
    return selected.stream().map(VmRecord::callerAddress).toList();
  }

  private static List<VmRecord> inCallerOrder(String caller, List<VmRecord> ready, int limit) {
    return ready.stream()
        .sorted(Comparator.comparingLong(vm -> callerOrder(caller, vm.vm())))
        .limit(limit)
        .toList();
  }

  private static long callerOrder(String caller, String vm) {
    long hash = (((long) caller.hashCode() << HASH_SHIFT) ^ vm.hashCode()) * HASH_MULTIPLIER;
    return (hash ^ (hash >>> HASH_SHIFT)) * HASH_MULTIPLIER;
  }

  /**
   * Response to a caller.
   *
   * @param addresses caller addresses, preferred ones first
   * @param validForSeconds time for which the caller may use them
   */
  public record AddressResponse(List<HostPort> addresses, long validForSeconds) {}
}
