package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.UpstreamState;

/**
 * Removes the records of lost VMs and upstreams after the retention time.
 *
 * <p>A removed record that another VM sends again is harmless: it is still marked lost, or its home
 * is unknown, so that it is not offered to requests.
 */
public final class RecordRetention {

  /** Number of contents with at most one crash that counts. */
  private static final int MAX_SINGLE_CRASH_RECORDS = 2_048;

  private final Clock clock;
  private final SoftTable table;
  private final SyncedVmDirectory vms;
  private final Map<String, Long> obsoleteSinceMs = new HashMap<>();

  /**
   * Creates the retention of a table.
   *
   * @param clock monotonic clock
   * @param table the table
   * @param vms VM directory that tells which home VMs are alive
   */
  public RecordRetention(Clock clock, SoftTable table, SyncedVmDirectory vms) {
    this.clock = clock;
    this.table = table;
    this.vms = vms;
  }

  /** Removes the records that have been obsolete for the retention time. */
  public void tick() {
    long nowMs = clock.millis();
    Set<String> obsolete = new HashSet<>();
    for (SoftRecord record : table.all()) {
      if (isObsolete(record)) {
        obsolete.add(record.key());
        long sinceMs = obsoleteSinceMs.computeIfAbsent(record.key(), key -> nowMs);
        if (nowMs - sinceMs >= SyncTimings.RECORD_RETENTION_MS) {
          table.remove(record.key());
        }
      }
    }
    obsoleteSinceMs.keySet().retainAll(obsolete);
    removeOldestSingleCrashes();
  }

  /** Each connection that breaks leaves such a record, and most never become more. */
  private void removeOldestSingleCrashes() {
    List<CrashEvidence> single =
        table.all().stream()
            .filter(SoftRecord.OfCrashEvidence.class::isInstance)
            .map(record -> ((SoftRecord.OfCrashEvidence) record).evidence())
            .filter(evidence -> !evidence.isOfService() && evidence.uncleared().size() <= 1)
            .sorted(Comparator.comparingLong(CrashEvidence::lastCrashAtMs))
            .toList();
    single.stream()
        .limit(Math.max(0, single.size() - MAX_SINGLE_CRASH_RECORDS))
        .map(evidence -> SoftRecord.OfCrashEvidence.keyOf(evidence.service(), evidence.content()))
        .forEach(table::remove);
  }

  private boolean isObsolete(SoftRecord record) {
    if (record instanceof SoftRecord.OfVm vm) {
      return !vms.isAlive(vm.record().vm(), vm.record().incarnation());
    }
    if (record instanceof SoftRecord.OfUpstream upstream) {
      return upstream.upstream().state() == UpstreamState.LOST
          || !vms.isAlive(upstream.homeVm(), upstream.homeIncarnation());
    }
    if (record instanceof SoftRecord.OfCrashEvidence crashes) {
      return isObsolete(crashes.evidence());
    }
    if (record instanceof SoftRecord.OfUpstreamLimit limit) {
      return table.find(SoftRecord.OfUpstream.keyOf(limit.limit().upstreamId())).isEmpty();
    }
    SoftRecord.Flag flag = (SoftRecord.Flag) record;
    String subject =
        flag.kind() == SoftRecord.Flag.Kind.VM_LOST
            ? SoftRecord.OfVm.keyOf(flag.id())
            : SoftRecord.OfUpstream.keyOf(flag.id());
    return table.find(subject).isEmpty();
  }

  /**
   * Evidence that counts is kept for long, since what is held back causes no new crash that would
   * renew it.
   */
  private boolean isObsolete(CrashEvidence evidence) {
    long retentionMs =
        evidence.uncleared().size() > 1
            ? SyncTimings.REPEATED_CRASH_RETENTION_MS
            : SyncTimings.SINGLE_CRASH_RETENTION_MS;
    boolean cleared = evidence.uncleared().isEmpty() && !evidence.isOfService();
    return cleared || clock.millis() - evidence.lastCrashAtMs() > retentionMs;
  }
}
