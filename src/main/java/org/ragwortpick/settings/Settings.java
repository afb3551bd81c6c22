package org.ragwortpick.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.common.HostPort;

/**
 * Settings of one process.
 *
 * @param vm unique name of the VM
 * @param dataCentre data centre of the VM
 * @param clusterId name of the deployment; messages from VMs of another deployment are rejected
 * @param roles roles of the process
 * @param callerAddress address for callers and upstreams
 * @param adminAddress address for operators, health checks and metrics
 * @param peerAddress address for messages between VMs
 * @param dataFolder folder of the durable state; present if and only if the VM has the control role
 * @param controlVms VMs with the control role
 * @param peers entry VMs that relay the configuration when no control VM can be reached
 * @param limits limits and timings
 * @param logLevel least severe level that is logged
 */
public record Settings(
    String vm,
    String dataCentre,
    String clusterId,
    Set<Role> roles,
    HostPort callerAddress,
    HostPort adminAddress,
    HostPort peerAddress,
    Optional<Path> dataFolder,
    List<PeerVm> controlVms,
    List<PeerVm> peers,
    Limits limits,
    String logLevel) {

  /** Copies the collections. */
  public Settings {
    roles = Set.copyOf(roles);
    controlVms = List.copyOf(controlVms);
    peers = List.copyOf(peers);
  }

  /**
   * Returns whether the process participates in consensus.
   *
   * @return true if it has the control role
   */
  public boolean isControl() {
    return roles.contains(Role.CONTROL);
  }
}
