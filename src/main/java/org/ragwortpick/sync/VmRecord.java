package org.ragwortpick.sync;

import org.ragwortpick.common.HostPort;

/**
 * Record of a VM that runs this system.
 *
 * @param vm unique name
 * @param incarnation number that increases with each start of the process
 * @param sequence number that increases with each change of the record
 * @param dataCentre data centre in which it runs
 * @param callerAddress address for callers; {@link HostPort#NONE} if it serves none
 * @param peerAddress address for other VMs
 * @param state life cycle state
 * @param load requests in flight, rounded to a coarse level
 * @param control whether the VM runs control replicas
 * @param processorPercent processor of the VM in percent of a core; 0 if it is not known
 */
public record VmRecord(
    String vm,
    long incarnation,
    long sequence,
    String dataCentre,
    HostPort callerAddress,
    HostPort peerAddress,
    VmState state,
    int load,
    boolean control,
    int processorPercent) {

  /**
   * Tells whether the VM has an address for callers.
   *
   * @return false for a VM that runs control replicas only
   */
  public boolean servesCallers() {
    return !callerAddress.equals(HostPort.NONE);
  }
}
