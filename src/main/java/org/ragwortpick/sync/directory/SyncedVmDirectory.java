package org.ragwortpick.sync.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;

/** VM directory over the soft state of the local VM. */
public final class SyncedVmDirectory implements VmDirectory {

  private final SoftTable table;

  /**
   * Creates a directory.
   *
   * @param table table with the records and flags
   */
  public SyncedVmDirectory(SoftTable table) {
    this.table = table;
  }

  @Override
  public List<VmRecord> vms() {
    List<VmRecord> vms = new ArrayList<>();
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfVm vm
          && vm.record().state() != VmState.STOPPED
          && !VmFailureDetector.isLost(table, vm.record().vm(), vm.record().incarnation())) {
        vms.add(vm.record());
      }
    }
    return vms;
  }

  /**
   * Tells whether an incarnation of a VM can be the home of upstreams.
   *
   * @param vm name of the VM
   * @param incarnation incarnation of the VM
   * @return false if it is unknown, replaced, stopped or lost
   */
  public boolean isAlive(String vm, long incarnation) {
    Optional<VmRecord> record =
        table.find(SoftRecord.OfVm.keyOf(vm)).map(found -> ((SoftRecord.OfVm) found).record());
    return record
            .filter(r -> r.incarnation() == incarnation && r.state() != VmState.STOPPED)
            .isPresent()
        && !VmFailureDetector.isLost(table, vm, incarnation);
  }
}
