package org.ragwortpick.sync;

import java.util.List;
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
 * @param reachesUpstreams false if the VM is known to reach no upstream of any service
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
    int processorPercent,
    boolean reachesUpstreams) {

  /** Creates the record of a VM that is not known to be partitioned from its upstreams. */
  public VmRecord(
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
    this(
        vm,
        incarnation,
        sequence,
        dataCentre,
        callerAddress,
        peerAddress,
        state,
        load,
        control,
        processorPercent,
        true);
  }

  /**
   * Returns the record with another reach.
   *
   * @param reaches false if the VM is known to reach no upstream of any service
   * @return the record
   */
  public VmRecord withReach(boolean reaches) {
    return new VmRecord(
        vm,
        incarnation,
        sequence,
        dataCentre,
        callerAddress,
        peerAddress,
        state,
        load,
        control,
        processorPercent,
        reaches);
  }

  /**
   * Leaves out the VMs that reach no upstream, unless no other VM is left: then the upstreams may
   * be down, and the VMs are no worse than each other.
   *
   * @param vms the VMs
   * @return VMs that are to be given work
   */
  public static List<VmRecord> preferReaching(List<VmRecord> vms) {
    List<VmRecord> reaching = vms.stream().filter(VmRecord::reachesUpstreams).toList();
    return reaching.isEmpty() ? vms : reaching;
  }

  /**
   * Tells whether the VM has an address for callers.
   *
   * @return false for a VM that runs control replicas only
   */
  public boolean servesCallers() {
    return !callerAddress.equals(HostPort.NONE);
  }
}
