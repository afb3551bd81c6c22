package org.ragwortpick.sync;

import java.util.List;

/** Directory of the VMs that run this system. */
public interface VmDirectory {

  /**
   * Lists the VMs that are neither stopped nor lost.
   *
   * @return the records, in no particular order
   */
  List<VmRecord> vms();
}
