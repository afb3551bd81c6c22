package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.CrashEvidenceTable;
import org.ragwortpick.sync.Upstream;

/**
 * Clears the crashes of upstreams that go on announcing themselves: their connections broke, but
 * they did not end.
 */
public final class SurvivedCrashes {

  /** Time after a crash in which announcements may still arrive that were sent before it. */
  private static final long DELAYED_ANNOUNCEMENT_MS = 1_500;

  private final CrashEvidenceTable table;
  private final Clock clock;
  private final Map<String, Upstream> firstSinceCrash = new HashMap<>();
  private Map<String, List<CrashEvidence>> evidenceByUpstream = Map.of();
  private long indexedVersion;

  /**
   * Creates an instance.
   *
   * @param table evidence that all VMs share
   * @param clock monotonic clock
   */
  public SurvivedCrashes(CrashEvidenceTable table, Clock clock) {
    this.table = table;
    this.clock = clock;
  }

  /**
   * Processes an announcement that is newer than all earlier ones. One alone may have been delayed,
   * so the second one after a crash clears it.
   *
   * @param announcement the announcement
   */
  public synchronized void onAnnounced(Upstream announcement) {
    index();
    List<CrashEvidence> survived =
        evidenceByUpstream.getOrDefault(announcement.id(), List.of()).stream()
            .filter(evidence -> evidence.crashes().stream().anyMatch(c -> is(c, announcement)))
            .toList();
    if (survived.isEmpty()) {
      firstSinceCrash.remove(announcement.id());
      return;
    }
    Upstream first = firstSinceCrash.putIfAbsent(announcement.id(), announcement);
    if (first != null && first.incarnation() == announcement.incarnation()) {
      firstSinceCrash.remove(announcement.id());
      survived.forEach(evidence -> clear(evidence, announcement));
    } else {
      firstSinceCrash.put(announcement.id(), announcement);
    }
  }

  private void index() {
    if (table.version() == indexedVersion) {
      return;
    }
    indexedVersion = table.version();
    Map<String, List<CrashEvidence>> index = new HashMap<>();
    for (CrashEvidence evidence : table.all()) {
      for (Crash crash : evidence.uncleared()) {
        index.computeIfAbsent(crash.upstreamId(), id -> new ArrayList<>()).add(evidence);
      }
    }
    evidenceByUpstream = index;
    firstSinceCrash.keySet().retainAll(index.keySet());
  }

  private boolean is(Crash crash, Upstream announcement) {
    return !crash.cleared()
        && crash.upstreamId().equals(announcement.id())
        && crash.incarnation() == announcement.incarnation()
        && clock.millis() >= crash.observedAtMs() + DELAYED_ANNOUNCEMENT_MS;
  }

  private void clear(CrashEvidence evidence, Upstream announcement) {
    List<Crash> cleared =
        evidence.crashes().stream()
            .filter(crash -> is(crash, announcement))
            .map(Crash::asCleared)
            .toList();
    table.add(new CrashEvidence(evidence.service(), evidence.content(), cleared));
  }
}
