package org.ragwortpick.consensus;

import java.nio.file.Path;
import java.util.Collection;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ragwortpick.common.HostPort;

/**
 * Settings of the consensus module of one VM.
 *
 * @param vm name of this VM; a key of {@code controlVms} unless the membership is open
 * @param clusterId name of the cluster; messages of other clusters are dropped
 * @param dataFolder folder for all files of the module
 * @param controlVms peer address of each control VM by VM name
 * @param snapshotLogBytes size in bytes of the log after which a snapshot is taken, unless the last
 *     snapshot is larger than that
 * @param openMembership whether any control VM may join; the names of VMs are then their peer
 *     addresses, and {@code controlVms} lists the seeds
 * @param voterRemovalFloor number of voters down to which silent voters are removed; 0 disables
 *     their removal
 */
public record ConsensusOptions(
    String vm,
    String clusterId,
    Path dataFolder,
    Map<String, HostPort> controlVms,
    long snapshotLogBytes,
    boolean openMembership,
    int voterRemovalFloor) {

  private static final long SNAPSHOT_LOG_BYTES = 8L * 1024 * 1024;

  /**
   * Checks that this VM is a control VM.
   *
   * @param vm name of this VM
   * @param clusterId name of the cluster
   * @param dataFolder folder for all files
   * @param controlVms peer addresses by VM
   * @param snapshotLogBytes size in bytes of the log after which a snapshot is taken
   * @param openMembership whether any control VM may join
   * @param voterRemovalFloor number of voters down to which silent voters are removed; 0 for never
   * @throws IllegalArgumentException if the VM is not one of the control VMs
   */
  public ConsensusOptions {
    controlVms = Map.copyOf(controlVms);
    if (!openMembership && !controlVms.containsKey(vm)) {
      throw new IllegalArgumentException(
          "VM " + vm + " is not one of the control VMs; add it to them or remove its control role");
    }
  }

  /**
   * Creates options of a fixed set of control VMs, with the default snapshot threshold.
   *
   * @param vm name of this VM
   * @param clusterId name of the cluster
   * @param dataFolder folder for all files
   * @param controlVms peer addresses by VM
   */
  public ConsensusOptions(
      String vm, String clusterId, Path dataFolder, Map<String, HostPort> controlVms) {
    this(vm, clusterId, dataFolder, controlVms, SNAPSHOT_LOG_BYTES, false, 0);
  }

  /**
   * Creates options of a cluster that any control VM may join.
   *
   * @param address peer address of this VM, which is its name
   * @param clusterId name of the cluster
   * @param dataFolder folder for all files
   * @param seeds peer addresses of the control VMs that receive the first join requests
   * @param voterRemovalFloor number of voters down to which silent voters are removed
   * @return the options
   */
  public static ConsensusOptions withOpenMembership(
      HostPort address,
      String clusterId,
      Path dataFolder,
      Collection<HostPort> seeds,
      int voterRemovalFloor) {
    Map<String, HostPort> seedAddresses =
        seeds.stream().collect(Collectors.toMap(HostPort::toString, Function.identity()));
    return new ConsensusOptions(
        address.toString(),
        clusterId,
        dataFolder,
        seedAddresses,
        SNAPSHOT_LOG_BYTES,
        true,
        voterRemovalFloor);
  }

  /**
   * Returns whether the replicas of a VM may become voters.
   *
   * @param name name of the VM
   * @return whether the VM is a control VM
   */
  public boolean mayVote(String name) {
    return openMembership || controlVms.containsKey(name);
  }

  /**
   * Returns the peer address of a control VM.
   *
   * @param name name of the VM
   * @return the address
   */
  public HostPort addressOf(String name) {
    return openMembership ? HostPort.parse(name) : controlVms.get(name);
  }
}
