package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Announcements that upstreams sent to the local VM, which judges the liveness of those at home
 * here.
 *
 * <p>Each announcement refreshes the liveness; only one that changes the record is spread.
 */
public final class UpstreamHome {

  /** Time for which a farewell waits for the record of its upstream; records spread in seconds. */
  private static final long FAREWELL_RETENTION_MS = 3_000;

  private final String vm;
  private final long vmIncarnation;
  private final Clock clock;
  private final SoftTable table;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Long> farewells = new HashMap<>();

  /**
   * Creates an empty home.
   *
   * @param vm name of the local VM
   * @param vmIncarnation incarnation of the local VM
   * @param clock monotonic clock
   * @param table table that spreads the records
   */
  public UpstreamHome(String vm, long vmIncarnation, Clock clock, SoftTable table) {
    this.vm = vm;
    this.vmIncarnation = vmIncarnation;
    this.clock = clock;
    this.table = table;
  }

  /**
   * Takes an announcement. One with an old incarnation or sequence is ignored.
   *
   * @param announcement the announced record
   * @return true if the announcement was newer than all known ones
   */
  public synchronized boolean announce(Upstream announcement) {
    Optional<SoftRecord.OfUpstream> known = known(announcement.id());
    Heard last = heard.get(announcement.id());
    if (last != null && !isNewer(announcement, last.incarnation, last.sequence)) {
      return false;
    }
    if (known.isPresent()
        && !isNewer(
            announcement,
            known.get().upstream().incarnation(),
            known.get().upstream().sequence())) {
      return false;
    }
    heard.put(
        announcement.id(),
        new Heard(announcement.incarnation(), announcement.sequence(), clock.millis()));
    SoftRecord.OfUpstream record = record(announcement, known);
    if (known.isEmpty()
        || !isAtHome(known.get())
        || !known.get().equals(sameSequence(record, known.get()))) {
      table.mergeFromBelow(record, vm);
    }
    return true;
  }

  private static boolean isNewer(Upstream announcement, long incarnation, long sequence) {
    return announcement.incarnation() > incarnation
        || (announcement.incarnation() == incarnation && announcement.sequence() > sequence);
  }

  private static SoftRecord.OfUpstream sameSequence(
      SoftRecord.OfUpstream record, SoftRecord.OfUpstream known) {
    return record.withLoad(known.upstream().sequence(), record.upstream().load());
  }

  /**
   * Takes the farewell of an upstream, which carries no number: it concerns the incarnation that is
   * known, or the first one of which this VM learns soon.
   *
   * @param id id of the upstream
   * @return true if the upstream is known here
   */
  public synchronized boolean leave(String id) {
    farewells.put(id, clock.millis());
    return markLeft(id);
  }

  private boolean markLeft(String id) {
    Optional<SoftRecord.OfUpstream> known = known(id);
    if (known.isEmpty()) {
      return false;
    }
    farewells.remove(id);
    Upstream upstream = known.get().upstream();
    table.mergeFromBelow(
        new SoftRecord.OfUpstream(
            UpstreamStates.with(
                upstream,
                UpstreamStates.announced(upstream.state(), UpstreamState.LEAVING),
                upstream.load()),
            known.get().homeVm(),
            known.get().homeIncarnation(),
            true),
        vm);
    return true;
  }

  private SoftRecord.OfUpstream record(
      Upstream announcement, Optional<SoftRecord.OfUpstream> known) {
    boolean sameIncarnation =
        known.isPresent() && known.get().upstream().incarnation() == announcement.incarnation();
    boolean left = sameIncarnation && known.get().left();
    UpstreamState state =
        sameIncarnation
            ? UpstreamStates.announced(known.get().upstream().state(), announcement.state())
            : UpstreamStates.first(announcement.state());
    int load = LoadLevels.ofUpstream(announcement.load(), announcement.slots());
    state = left ? UpstreamState.LEAVING : state;
    return new SoftRecord.OfUpstream(
        UpstreamStates.with(announcement, state, load),
        vm,
        vmIncarnation,
        state == UpstreamState.LEAVING);
  }

  /** Declares silent upstreams lost and claims those that an older announcement moved away. */
  public synchronized void tick() {
    long nowMs = clock.millis();
    farewells.values().removeIf(atMs -> nowMs - atMs >= FAREWELL_RETENTION_MS);
    List.copyOf(farewells.keySet()).forEach(this::markLeft);
    for (Iterator<Map.Entry<String, Heard>> i = heard.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<String, Heard> entry = i.next();
      Heard last = entry.getValue();
      Optional<SoftRecord.OfUpstream> known = known(entry.getKey());
      if (known.isEmpty() || isNewerElsewhere(known.get(), last)) {
        i.remove();
        continue;
      }
      boolean silent = nowMs - last.atMs >= SyncTimings.UPSTREAM_TIMEOUT_MS;
      if (silent) {
        i.remove();
      }
      // An announcement that was late to another home may have moved the record there.
      if (silent || !isAtHome(known.get())) {
        table.mergeFromBelow(claimed(known.get(), last.sequence, silent), vm);
      }
    }
  }

  private SoftRecord.OfUpstream claimed(
      SoftRecord.OfUpstream known, long sequence, boolean silent) {
    Upstream upstream = UpstreamStates.withSequence(known.upstream(), sequence);
    UpstreamState state = silent ? UpstreamStates.silent(upstream.state()) : upstream.state();
    return new SoftRecord.OfUpstream(
        UpstreamStates.with(upstream, state, upstream.load()), vm, vmIncarnation, known.left());
  }

  private boolean isNewerElsewhere(SoftRecord.OfUpstream known, Heard last) {
    Upstream upstream = known.upstream();
    if (upstream.incarnation() != last.incarnation) {
      return upstream.incarnation() > last.incarnation;
    }
    return !isAtHome(known) && upstream.sequence() >= last.sequence;
  }

  private boolean isAtHome(SoftRecord.OfUpstream record) {
    return record.homeVm().equals(vm) && record.homeIncarnation() == vmIncarnation;
  }

  private Optional<SoftRecord.OfUpstream> known(String id) {
    return table.find(SoftRecord.OfUpstream.keyOf(id)).map(SoftRecord.OfUpstream.class::cast);
  }

  private static final class Heard {
    private final long incarnation;
    private final long sequence;
    private final long atMs;

    private Heard(long incarnation, long sequence, long atMs) {
      this.incarnation = incarnation;
      this.sequence = sequence;
      this.atMs = atMs;
    }
  }
}
