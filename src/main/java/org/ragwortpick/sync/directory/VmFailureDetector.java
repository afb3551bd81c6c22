package org.ragwortpick.sync.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmRecord;

/** Failure detector of the leader: sets the flags that tell all VMs which VMs are lost. */
public final class VmFailureDetector {

  private final SoftTable table;
  private final VmHeartbeats heartbeats;
  private final Supplier<Stamp> stamps;

  /**
   * Creates a failure detector.
   *
   * @param table table that distributes the flags
   * @param heartbeats last heartbeats of the VMs
   * @param stamps source of stamps of the leader's term
   */
  public VmFailureDetector(SoftTable table, VmHeartbeats heartbeats, Supplier<Stamp> stamps) {
    this.table = table;
    this.heartbeats = heartbeats;
    this.stamps = stamps;
  }

  /**
   * Updates the flags of all VMs. The first flag of a term is set even if it equals the current
   * one, because another VM may have a later flag of the previous leader.
   *
   * @param term term of the local VM as the leader
   * @param leadingForMs time since it became the leader in milliseconds
   */
  public void update(long term, long leadingForMs) {
    Map<String, Long> alive = new HashMap<>();
    heartbeats.recent().forEach(last -> alive.put(last.vm(), last.incarnation()));
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfVm vm) {
        Long aliveIncarnation = alive.get(vm.record().vm());
        boolean lost = aliveIncarnation == null || aliveIncarnation < vm.record().incarnation();
        // A new leader has no heartbeats yet, so it flags no VM as lost before the timeout.
        if (!lost || leadingForMs >= SyncTimings.VM_TIMEOUT_MS) {
          setFlag(vm.record(), lost, term);
        }
      }
    }
  }

  private void setFlag(VmRecord vm, boolean lost, long term) {
    boolean unchanged =
        flag(table, SoftRecord.Flag.Kind.VM_LOST, vm.vm())
            .filter(flag -> flag.stamp().term() == term && flag.set() == lost)
            .filter(flag -> flag.incarnation() == vm.incarnation())
            .isPresent();
    if (!unchanged) {
      table.mergeFromSource(
          new SoftRecord.Flag(
              SoftRecord.Flag.Kind.VM_LOST, vm.vm(), vm.incarnation(), stamps.get(), lost));
    }
  }

  /**
   * Tells whether the leader flagged a VM as lost.
   *
   * @param table table with the flags
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @return true if that incarnation is flagged as lost
   */
  public static boolean isLost(SoftTable table, String vm, long incarnation) {
    return flag(table, SoftRecord.Flag.Kind.VM_LOST, vm)
        .filter(flag -> flag.incarnation() == incarnation && flag.set())
        .isPresent();
  }

  /**
   * Finds a flag.
   *
   * @param table table with the flags
   * @param kind meaning of the flag
   * @param id name of the VM or identity of the upstream
   * @return the flag, or empty if there is none
   */
  public static Optional<SoftRecord.Flag> flag(
      SoftTable table, SoftRecord.Flag.Kind kind, String id) {
    return table.find(SoftRecord.Flag.keyOf(kind, id)).map(SoftRecord.Flag.class::cast);
  }
}
