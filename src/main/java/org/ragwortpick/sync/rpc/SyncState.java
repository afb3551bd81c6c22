package org.ragwortpick.sync.rpc;

import java.time.Clock;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.VersionReports;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.allowance.LeasedColdAllowances;
import org.ragwortpick.sync.directory.RecordRetention;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SurvivedCrashes;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;
import org.ragwortpick.sync.directory.SyncedUpstreamDirectory;
import org.ragwortpick.sync.directory.SyncedUpstreamLimits;
import org.ragwortpick.sync.directory.SyncedVmDirectory;
import org.ragwortpick.sync.directory.UpstreamHome;
import org.ragwortpick.sync.directory.VmHeartbeats;
import org.ragwortpick.sync.directory.WarmFlags;
import org.ragwortpick.sync.view.SyncedConfiguration;

/** Configuration view, soft state and leases that one VM maintains by polling. */
public final class SyncState {

  /**
   * Interval of the retention check. Each check visits all records, and a retention of 60 s needs
   * no shorter interval.
   */
  private static final long RETENTION_INTERVAL_MS = 5_000;

  private final SyncIdentity identity;
  private final Clock clock;
  private final SyncedConfiguration view;
  private final SoftTable table = new SoftTable();
  private final VmHeartbeats heartbeats;
  private final UpstreamHome home;
  private final SyncedVmDirectory vms;
  private final SyncedUpstreamDirectory upstreams;
  private final WarmFlags warmFlags;
  private final RecordRetention retention;
  private final LeasedColdAllowances allowances;
  private final SyncedCrashEvidence crashEvidence;
  private final SyncedUpstreamLimits upstreamLimits;
  private final VersionReports versionReports;
  private long lastRetentionAtMs;

  /**
   * Creates the state of a VM without records.
   *
   * @param identity identity of the local VM
   * @param clock monotonic clock
   * @param pollTrigger called to poll early, when a request found no free share of a cold upstream
   *     or there is new evidence about crashes or limits
   */
  public SyncState(SyncIdentity identity, Clock clock, Runnable pollTrigger) {
    this.identity = identity;
    this.clock = clock;
    this.view = new SyncedConfiguration(clock);
    this.heartbeats = new VmHeartbeats(clock);
    this.home = new UpstreamHome(identity.vm(), identity.incarnation(), clock, table);
    this.vms = new SyncedVmDirectory(table);
    this.warmFlags = new WarmFlags(table, view);
    this.crashEvidence = new SyncedCrashEvidence(identity.vm(), table, pollTrigger);
    this.upstreams =
        new SyncedUpstreamDirectory(
            clock, table, vms, warmFlags, home, new SurvivedCrashes(crashEvidence, clock));
    this.allowances =
        new LeasedColdAllowances(
            identity.vm(), identity.incarnation(), clock, warmFlags, pollTrigger);
    this.upstreamLimits = new SyncedUpstreamLimits(identity.vm(), table, pollTrigger);
    this.versionReports = new VersionReports(identity.vm(), identity.incarnation(), clock);
    this.retention = new RecordRetention(clock, table, vms);
  }

  /** Detects lost upstreams, removes obsolete records and refreshes the upstream directory. */
  public synchronized void tick() {
    home.tick();
    if (clock.millis() - lastRetentionAtMs >= RETENTION_INTERVAL_MS) {
      lastRetentionAtMs = clock.millis();
      retention.tick();
    }
    upstreams.refreshIfDue();
  }

  /**
   * Publishes the record of the local VM.
   *
   * @param record the record
   */
  public void publish(VmRecord record) {
    table.mergeFromPoller(new SoftRecord.OfVm(record), identity.vm());
  }

  /**
   * Returns the identity of the local VM.
   *
   * @return the identity
   */
  public SyncIdentity identity() {
    return identity;
  }

  /**
   * Returns the configuration view.
   *
   * @return the view
   */
  public SyncedConfiguration view() {
    return view;
  }

  /**
   * Returns the table of soft-state records.
   *
   * @return the table
   */
  public SoftTable table() {
    return table;
  }

  /**
   * Returns the last heartbeats of VMs.
   *
   * @return the heartbeats
   */
  public VmHeartbeats heartbeats() {
    return heartbeats;
  }

  /**
   * Returns the VM directory.
   *
   * @return the directory
   */
  public SyncedVmDirectory vms() {
    return vms;
  }

  /**
   * Returns the upstream directory.
   *
   * @return the directory
   */
  public SyncedUpstreamDirectory upstreams() {
    return upstreams;
  }

  /**
   * Returns the leases on shares of cold upstreams.
   *
   * @return the allowances
   */
  public LeasedColdAllowances allowances() {
    return allowances;
  }

  /**
   * Returns the evidence about crashes of upstreams.
   *
   * @return the evidence
   */
  public SyncedCrashEvidence crashEvidence() {
    return crashEvidence;
  }

  /**
   * Returns the request rates that upstreams named.
   *
   * @return the limits
   */
  public SyncedUpstreamLimits upstreamLimits() {
    return upstreamLimits;
  }

  /**
   * Returns the reports about services in a rollout.
   *
   * @return the reports
   */
  public VersionReports versionReports() {
    return versionReports;
  }

  /**
   * Returns the flags of warm upstreams.
   *
   * @return the flags
   */
  public WarmFlags warmFlags() {
    return warmFlags;
  }
}
