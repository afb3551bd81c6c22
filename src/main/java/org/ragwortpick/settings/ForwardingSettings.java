package org.ragwortpick.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.common.HostPort;

/**
 * Checked settings of a process of a deployment that forwards requests. A process serves what it
 * has an address for. The name of its VM is its peer address.
 *
 * @param peerAddress address for the other VMs
 * @param dataCentre name of the data centre
 * @param clusterId name of the deployment
 * @param protocol name of the edge protocol
 * @param seeds peer addresses of control VMs to ask first
 * @param control settings of the control role; empty without it
 * @param entry settings of the entry role; empty without it
 * @param logLevel lowest level of log lines
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
   * @param dataFolder folder of the replicated log; empty for a VM without a disk, which relays
   * @param firstStart whether the deployment starts for the first time, so that the first seed
   *     forms the group; an empty folder joins otherwise
   * @param toleratedDiskLosses disks that may be lost at once without losing an accepted change
   * @param operatorAddress address for operators and announcements
   * @param directoryAddress address for callers that ask for addresses
   */
  public record ControlRole(
      Optional<Path> dataFolder,
      boolean firstStart,
      int toleratedDiskLosses,
      HostPort operatorAddress,
      HostPort directoryAddress) {

    /**
     * Returns the voters that a change needs.
     *
     * @return number of voters of which a majority is more than the tolerated losses
     */
    public int minimumVoters() {
      return 2 * toleratedDiskLosses + 1;
    }
  }

  /**
   * Settings of the entry role.
   *
   * @param callerAddress address for callers
   * @param readinessAddress address of the readiness check
   * @param stopTimeoutMs time in milliseconds after which a stop ends requests in flight
   * @param retryRatioPercent requests sent again, in percent of the requests of all VMs
   * @param retryConstant requests sent again beside the ratio, shared out among all VMs
   */
  public record EntryRole(
      HostPort callerAddress,
      HostPort readinessAddress,
      long stopTimeoutMs,
      int retryRatioPercent,
      int retryConstant) {}
}
