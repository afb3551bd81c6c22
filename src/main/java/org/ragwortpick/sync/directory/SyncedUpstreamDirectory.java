package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.sync.UpstreamState;

/**
 * Upstream directory over the soft state of the local VM.
 *
 * <p>Requests read a snapshot by service. It is rebuilt when a record has changed, and periodically
 * because the grace periods of lost home VMs expire.
 */
public final class SyncedUpstreamDirectory implements UpstreamDirectory {

  /** Interval of rebuilding the snapshot without a change, because grace periods expire. */
  private static final long REFRESH_INTERVAL_MS = 400;

  private final Clock clock;
  private final SoftTable table;
  private final SyncedVmDirectory vms;
  private final WarmFlags warmFlags;
  private final UpstreamHome home;
  private final SurvivedCrashes survivedCrashes;
  private final Map<HomeKey, Long> lastAliveMs = new HashMap<>();
  private long refreshedAtMs;
  private volatile Snapshot snapshot = new Snapshot(-1, Map.of(), Map.of());

  /**
   * Creates a directory.
   *
   * @param clock monotonic clock
   * @param table table with the records and flags
   * @param vms VM directory that tells which home VMs are alive
   * @param warmFlags warm upstreams
   * @param home home of the upstreams that announce themselves to the local VM
   * @param survivedCrashes learns of the announcements
   */
  public SyncedUpstreamDirectory(
      Clock clock,
      SoftTable table,
      SyncedVmDirectory vms,
      WarmFlags warmFlags,
      UpstreamHome home,
      SurvivedCrashes survivedCrashes) {
    this.clock = clock;
    this.table = table;
    this.vms = vms;
    this.warmFlags = warmFlags;
    this.home = home;
    this.survivedCrashes = survivedCrashes;
  }

  @Override
  public List<Upstream> upstreams(String service) {
    if (snapshot.version() != table.version()) {
      refresh();
    }
    return snapshot.byService().getOrDefault(service, List.of());
  }

  /**
   * Lists the upstreams of a service in the state that they announced, regardless of the warm flags
   * of the leader.
   *
   * @param service name of the service
   * @return upstreams that are cold or ready
   */
  public List<Upstream> announced(String service) {
    if (snapshot.version() != table.version()) {
      refresh();
    }
    return snapshot.announcedByService().getOrDefault(service, List.of());
  }

  @Override
  public Optional<Upstream> find(String id) {
    return table
        .find(SoftRecord.OfUpstream.keyOf(id))
        .map(record -> inEffectiveState(((SoftRecord.OfUpstream) record).upstream()));
  }

  @Override
  public void announce(Upstream announcement) {
    if (home.announce(announcement)) {
      survivedCrashes.onAnnounced(announcement);
    }
  }

  /**
   * Processes a leave notice of an upstream.
   *
   * @param id id of the upstream
   * @param incarnation incarnation that leaves; empty if the notice does not name it
   * @return true if the local VM has a record of the incarnation that leaves
   */
  public boolean leave(String id, OptionalLong incarnation) {
    return home.leave(id, incarnation);
  }

  /** Rebuilds the snapshot if a record has changed or the refresh interval has passed. */
  public synchronized void refreshIfDue() {
    boolean changed = snapshot.version() != table.version();
    if (changed || clock.millis() - refreshedAtMs >= REFRESH_INTERVAL_MS) {
      refresh();
    }
  }

  /** Rebuilds the snapshot. */
  public synchronized void refresh() {
    long version = table.version();
    long nowMs = clock.millis();
    refreshedAtMs = nowMs;
    Set<HomeKey> homes = new HashSet<>();
    Map<String, List<Upstream>> byService = new HashMap<>();
    Map<String, List<Upstream>> announced = new HashMap<>();
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfUpstream entry && isOffered(entry.upstream().state())) {
        HomeKey key = new HomeKey(entry.homeVm(), entry.homeIncarnation());
        if (homes.add(key) && vms.isAlive(key.vm(), key.incarnation())) {
          lastAliveMs.put(key, nowMs);
        }
        // A delayed record whose home was never observed alive gets no grace period.
        Long aliveMs = lastAliveMs.get(key);
        if (aliveMs != null && nowMs - aliveMs < SyncTimings.HOME_GRACE_MS) {
          byService
              .computeIfAbsent(entry.upstream().service(), service -> new ArrayList<>())
              .add(inEffectiveState(entry.upstream()));
          announced
              .computeIfAbsent(entry.upstream().service(), service -> new ArrayList<>())
              .add(entry.upstream());
        }
      }
    }
    lastAliveMs.keySet().retainAll(homes);
    byService.replaceAll((service, upstreams) -> List.copyOf(upstreams));
    announced.replaceAll((service, upstreams) -> List.copyOf(upstreams));
    snapshot = new Snapshot(version, Map.copyOf(byService), Map.copyOf(announced));
  }

  private static boolean isOffered(UpstreamState state) {
    return state == UpstreamState.COLD || state == UpstreamState.READY;
  }

  private Upstream inEffectiveState(Upstream upstream) {
    if (upstream.state() != UpstreamState.READY || warmFlags.isWarm(upstream)) {
      return upstream;
    }
    return UpstreamStates.with(
        upstream, UpstreamStates.withoutWarmFlag(upstream.state()), upstream.load());
  }

  private record HomeKey(String vm, long incarnation) {}

  private record Snapshot(
      long version,
      Map<String, List<Upstream>> byService,
      Map<String, List<Upstream>> announcedByService) {}
}
