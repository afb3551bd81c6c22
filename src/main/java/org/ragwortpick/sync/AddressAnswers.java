package org.ragwortpick.sync;

import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;

/** Answers callers which addresses to use. */
public final class AddressAnswers {

  /** Multiplier of a finalising hash step; it spreads callers with similar names. */
  private static final long MIX = 0x9E3779B97F4A7C15L;

  private static final int MIX_SHIFT = 32;

  private final VmDirectory vms;
  private final ConfigurationView view;
  private final Supplier<VmRecord> local;

  /**
   * Creates the answers of the local VM.
   *
   * @param vms VM directory
   * @param view configuration view
   * @param local record of the local VM
   */
  public AddressAnswers(VmDirectory vms, ConfigurationView view, Supplier<VmRecord> local) {
    this.vms = vms;
    this.view = view;
    this.local = local;
  }

  /**
   * Lists the ready VMs of data centres that take work: own data centre first, then by load, then
   * in an order that differs between callers. A VM whose view is not in force leaves itself out.
   *
   * @param caller name or address of the caller
   * @return the addresses, best first
   */
  public AddressAnswer best(String caller) {
    VmRecord self = local.get();
    boolean inForce = view.isInForce();
    List<HostPort> addresses =
        vms.vms().stream()
            .filter(vm -> vm.state() == VmState.READY && vm.servesCallers())
            .filter(vm -> view.current().takesWork(vm.dataCentre()))
            .filter(vm -> inForce || !vm.vm().equals(self.vm()))
            .sorted(
                Comparator.comparing((VmRecord vm) -> !vm.dataCentre().equals(self.dataCentre()))
                    .thenComparingInt(VmRecord::load)
                    .thenComparingLong(vm -> spread(caller, vm.vm())))
            .map(VmRecord::callerAddress)
            .toList();
    return new AddressAnswer(addresses, SyncTimings.ADDRESS_VALIDITY_MS / 1_000);
  }

  /**
   * Lists the addresses of all ready VMs that serve callers, whatever their data centre, for a
   * deployment in which only upstreams are taken out of service.
   *
   * @return addresses in the order of the names of the VMs
   */
  public List<HostPort> ready() {
    return vms.vms().stream()
        .filter(vm -> vm.state() == VmState.READY && vm.servesCallers())
        .sorted(Comparator.comparing(VmRecord::vm))
        .map(VmRecord::callerAddress)
        .toList();
  }

  private static long spread(String caller, String vm) {
    long hash = (((long) caller.hashCode() << MIX_SHIFT) ^ vm.hashCode()) * MIX;
    return (hash ^ (hash >>> MIX_SHIFT)) * MIX;
  }

  /**
   * Answer to a caller.
   *
   * @param addresses caller addresses, best first
   * @param validForSeconds time for which the caller may use them
   */
  public record AddressAnswer(List<HostPort> addresses, long validForSeconds) {}
}
