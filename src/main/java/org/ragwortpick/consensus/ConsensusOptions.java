package org.ragwortpick.consensus;

import java.nio.file.Path;
import java.util.Map;
import org.ragwortpick.common.HostPort;

/**
 * Settings of the consensus module of one VM.
 *
 * @param vm name of this VM, a key of {@code controlVms}
 * @param clusterId name of the cluster; replicas of another cluster are refused
 * @param dataFolder folder for all files of the module
 * @param controlVms peer address of each control VM by its name
 * @param snapshotLogBytes size of the log after which a snapshot is taken, if the last snapshot is
 *     not larger
 */
public record ConsensusOptions(
    String vm,
    String clusterId,
    Path dataFolder,
    Map<String, HostPort> controlVms,
    long snapshotLogBytes) {

  private static final long SNAPSHOT_LOG_BYTES = 8L * 1024 * 1024;

  /**
   * Checks the values.
   *
   * @param vm name of this VM
   * @param clusterId name of the cluster
   * @param dataFolder folder for all files
   * @param controlVms peer addresses by VM
   * @param snapshotLogBytes size of the log after which a snapshot is taken
   * @throws IllegalArgumentException if the VM is not one of the control VMs
   */
  public ConsensusOptions {
    controlVms = Map.copyOf(controlVms);
    if (!controlVms.containsKey(vm)) {
      throw new IllegalArgumentException(
          "VM " + vm + " is not one of the control VMs; add it to them or remove its control role");
    }
  }

  /**
   * Creates options with the usual snapshot size.
   *
   * @param vm name of this VM
   * @param clusterId name of the cluster
   * @param dataFolder folder for all files
   * @param controlVms peer addresses by VM
   */
  public ConsensusOptions(
      String vm, String clusterId, Path dataFolder, Map<String, HostPort> controlVms) {
    this(vm, clusterId, dataFolder, controlVms, SNAPSHOT_LOG_BYTES);
  }
}
