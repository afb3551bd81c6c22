package org.ragwortpick.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.rollout.RolloutBounds;

/**
 * Validated settings of a process in a deployment that forwards requests. The process has each role
 * whose settings are present. The name of its VM is its peer address.
 *
 * @param peerAddress address for messages from other VMs
 * @param dataCentre name of the data centre
 * @param clusterId name of the deployment
 * @param protocol name of the edge protocol
 * @param seeds peer addresses of the control VMs to contact first
 * @param control settings of the control role; empty without it
 * @param entry settings of the entry role; empty without it
 * @param logLevel least severe level that is logged
 */
public record ForwardingSettings(
    HostPort peerAddress,
    String dataCentre,
    String clusterId,
    String protocol,
    List<HostPort> seeds,
    Optional<ControlRole> control,
    Optional<EntryRole> entry,
    String logLevel) {

  /** Copies the list. */
  public ForwardingSettings {
    seeds = List.copyOf(seeds);
  }

  /**
   * Settings of the control role.
   *
   * @param dataFolder folder of the replicated log; empty for a VM without a disk, which relays the
   *     configuration
   * @param firstStart whether the deployment starts for the first time: the first seed then forms
   *     the consensus group; otherwise a VM with an empty folder joins the existing group
   * @param toleratedDiskLosses disks that may be lost at the same time without losing an accepted
   *     change
   * @param operatorAddress address for operators and announcements
   * @param directoryAddress address for callers that look up entry addresses
   * @param rolloutBounds bounds of rollouts; empty to refuse them
   */
  public record ControlRole(
      Optional<Path> dataFolder,
      boolean firstStart,
      int toleratedDiskLosses,
      HostPort operatorAddress,
      HostPort directoryAddress,
      Optional<RolloutBounds> rolloutBounds) {}

  /**
   * Settings of the entry role.
   *
   * @param callerAddress address for callers
   * @param readinessAddress address of the readiness check
   * @param stopTimeoutMs time in milliseconds after which a graceful stop aborts requests in flight
   * @param retryRatioPercent retry budget in percent of the requests of all VMs
   * @param retryConstant retries allowed in addition to the ratio, divided among all VMs
   * @param processorPercent processor of the VM in percent of a core; 0 if it is not stated
   * @param maxFileDescriptors file descriptors that the VM may open; 0 if they are not stated
   * @param overloadControl when requests are admitted by their whole path
   */
  public record EntryRole(
      HostPort callerAddress,
      HostPort readinessAddress,
      long stopTimeoutMs,
      int retryRatioPercent,
      int retryConstant,
      int processorPercent,
      int maxFileDescriptors,
      OverloadControl overloadControl) {}
}
