package org.ragwortpick.sync;

import java.util.List;

/** VMs of this system known to the local VM. */
public interface VmDirectory {

  /**
   * Lists the VMs heard from within the VM timeout.
   *
   * @return the records, in no particular order
   */
  List<VmRecord> vms();
}
