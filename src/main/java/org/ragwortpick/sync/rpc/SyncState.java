package org.ragwortpick.sync.rpc;

import java.time.Clock;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.allowance.LeasedColdAllowances;
import org.ragwortpick.sync.directory.RecordRetention;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedUpstreamDirectory;
import org.ragwortpick.sync.directory.SyncedVmDirectory;
import org.ragwortpick.sync.directory.UpstreamHome;
import org.ragwortpick.sync.directory.VmHeartbeats;
import org.ragwortpick.sync.directory.WarmFlags;
import org.ragwortpick.sync.view.SyncedConfiguration;

/** Everything that one VM knows through the polls. */
public final class SyncState {

  /** A retention of 60 s needs no finer judgement; each one visits all records. */
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
  private long retentionAtMs;

  /**
   * Creates the state of a VM that knows nothing.
   *
   * @param identity identity of the local VM
   * @param clock monotonic clock
   * @param demandArose called when a request found no share of a cold upstream, to poll early
   */
  public SyncState(SyncIdentity identity, Clock clock, Runnable demandArose) {
    this.identity = identity;
    this.clock = clock;
    this.view = new SyncedConfiguration(clock);
    this.heartbeats = new VmHeartbeats(clock);
    this.home = new UpstreamHome(identity.vm(), identity.incarnation(), clock, table);
    this.vms = new SyncedVmDirectory(table);
    this.warmFlags = new WarmFlags(table, view);
    this.upstreams = new SyncedUpstreamDirectory(clock, table, vms, warmFlags, home);
    this.allowances =
        new LeasedColdAllowances(
            identity.vm(), identity.incarnation(), clock, warmFlags, demandArose);
    this.retention = new RecordRetention(clock, table, vms);
  }

  /** Judges silence and lets records expire. */
  public synchronized void tick() {
    home.tick();
    if (clock.millis() - retentionAtMs >= RETENTION_INTERVAL_MS) {
      retentionAtMs = clock.millis();
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
   * Returns the records.
   *
   * @return the table
   */
  public SoftTable table() {
    return table;
  }

  /**
   * Returns the signs of life of VMs.
   *
   * @return the signs of life
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
   * Returns the shares of cold upstreams.
   *
   * @return the allowances
   */
  public LeasedColdAllowances allowances() {
    return allowances;
  }

  /**
   * Returns the warm upstreams.
   *
   * @return the flags
   */
  public WarmFlags warmFlags() {
    return warmFlags;
  }
}
