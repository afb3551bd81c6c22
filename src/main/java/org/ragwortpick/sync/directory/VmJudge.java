package org.ragwortpick.sync.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmRecord;

/** Judges on the leader which VMs are lost and spreads the judgement as flags. */
public final class VmJudge {

  private final SoftTable table;
  private final HeardVms heardVms;
  private final Supplier<Stamp> stamps;

  /**
   * Creates a judge.
   *
   * @param table table that spreads the flags
   * @param heardVms signs of life
   * @param stamps source of stamps of the leader's term
   */
  public VmJudge(SoftTable table, HeardVms heardVms, Supplier<Stamp> stamps) {
    this.table = table;
    this.heardVms = heardVms;
    this.stamps = stamps;
  }

  /**
   * Judges each VM. The first judgement of a term is spread even if it equals the known one,
   * because another VM may know a later flag of the previous leader.
   *
   * @param term term of the local VM as the leader
   * @param leadingForMs time since it became the leader in milliseconds
   */
  public void judge(long term, long leadingForMs) {
    Map<String, Long> alive = new HashMap<>();
    heardVms.recent().forEach(heard -> alive.put(heard.vm(), heard.incarnation()));
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfVm vm) {
        Long heardIncarnation = alive.get(vm.record().vm());
        boolean lost = heardIncarnation == null || heardIncarnation < vm.record().incarnation();
        // A new leader has heard from nobody yet, so it calls no VM lost before the timeout.
        if (!lost || leadingForMs >= SyncTimings.VM_TIMEOUT_MS) {
          judge(vm.record(), lost, term);
        }
      }
    }
  }

  private void judge(VmRecord vm, boolean lost, long term) {
    boolean known =
        flag(table, SoftRecord.Flag.Kind.VM_LOST, vm.vm())
            .filter(flag -> flag.stamp().term() == term && flag.set() == lost)
            .filter(flag -> flag.incarnation() == vm.incarnation())
            .isPresent();
    if (!known) {
      table.mergeFromAbove(
          new SoftRecord.Flag(
              SoftRecord.Flag.Kind.VM_LOST, vm.vm(), vm.incarnation(), stamps.get(), lost));
    }
  }

  /**
   * Tells whether the leader judged a VM as lost.
   *
   * @param table table with the flags
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @return true if that incarnation is flagged
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
   * @param kind what is judged
   * @param id name of the VM or identity of the upstream
   * @return the flag, or empty if there is none
   */
  public static Optional<SoftRecord.Flag> flag(
      SoftTable table, SoftRecord.Flag.Kind kind, String id) {
    return table.find(SoftRecord.Flag.keyOf(kind, id)).map(SoftRecord.Flag.class::cast);
  }
}
