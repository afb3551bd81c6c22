package org.ragwortpick.sync.directory;

import java.time.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Announcements that upstreams sent to the local VM, which detects the loss of the upstreams whose
 * home it is.
 *
 * <p>Each announcement counts as a heartbeat; only one that changes the record is distributed.
 */
public final class UpstreamHome {

  /** Retention of a leave notice whose upstream has no record yet; records may take seconds. */
  private static final long LEAVE_NOTICE_RETENTION_MS = 3_000;

  private final String vm;
  private final long vmIncarnation;
  private final Clock clock;
  private final SoftTable table;
  private final Map<String, LastAnnouncement> lastAnnouncements = new HashMap<>();
  private final Map<String, LeaveNotice> leaveNotices = new HashMap<>();

  /**
   * Creates an empty home.
   *
   * @param vm name of the local VM
   * @param vmIncarnation incarnation of the local VM
   * @param clock monotonic clock
   * @param table table that distributes the records
   */
  public UpstreamHome(String vm, long vmIncarnation, Clock clock, SoftTable table) {
    this.vm = vm;
    this.vmIncarnation = vmIncarnation;
    this.clock = clock;
    this.table = table;
  }

  /**
   * Processes an announcement. One with an older incarnation or sequence is ignored.
   *
   * @param announcement the announced record
   * @return true if the announcement was newer than all earlier ones
   */
  public synchronized boolean announce(Upstream announcement) {
    Optional<SoftRecord.OfUpstream> current = recordOf(announcement.id());
    LastAnnouncement last = lastAnnouncements.get(announcement.id());
    if (last != null && !isNewer(announcement, last.incarnation, last.sequence)) {
      return false;
    }
    if (current.isPresent()
        && !isNewer(
            announcement,
            current.get().upstream().incarnation(),
            current.get().upstream().sequence())) {
      return false;
    }
    lastAnnouncements.put(
        announcement.id(),
        new LastAnnouncement(announcement.incarnation(), announcement.sequence(), clock.millis()));
    SoftRecord.OfUpstream record = toRecord(announcement, current);
    if (current.isEmpty()
        || !hasLocalHome(current.get())
        || !current.get().equals(sameSequence(record, current.get()))) {
      table.mergeFromPoller(record, vm);
    }
    return true;
  }

  private static boolean isNewer(Upstream announcement, long incarnation, long sequence) {
    return announcement.incarnation() > incarnation
        || (announcement.incarnation() == incarnation && announcement.sequence() > sequence);
  }

  private static SoftRecord.OfUpstream sameSequence(
      SoftRecord.OfUpstream record, SoftRecord.OfUpstream current) {
    return record.withLoad(current.upstream().sequence(), record.upstream().load());
  }

  /**
   * Processes a leave notice of an upstream. One that names its incarnation concerns only that; it
   * may come long after the upstream has started again under its id. Any other concerns the
   * incarnation on record. If there is no record yet, the notice concerns the first one that
   * arrives within the retention time.
   *
   * @param id id of the upstream
   * @param incarnation incarnation that leaves; empty if the notice does not name it
   * @return true if the local VM has a record of the incarnation that leaves
   */
  public synchronized boolean leave(String id, OptionalLong incarnation) {
    leaveNotices.merge(
        id, new LeaveNotice(incarnation, clock.millis()), LeaveNotice::ofLaterIncarnation);
    return markLeft(id);
  }

  private boolean markLeft(String id) {
    LeaveNotice notice = leaveNotices.get(id);
    Optional<SoftRecord.OfUpstream> current = recordOf(id);
    if (current.isEmpty() || notice.isAfter(current.get())) {
      return false;
    }
    if (notice.isBefore(current.get())) {
      leaveNotices.remove(id);
      return false;
    }
    leaveNotices.remove(id);
    Upstream upstream = current.get().upstream();
    table.mergeFromPoller(
        new SoftRecord.OfUpstream(
            UpstreamStates.with(
                upstream,
                UpstreamStates.afterAnnouncement(upstream.state(), UpstreamState.LEAVING),
                upstream.load()),
            current.get().homeVm(),
            current.get().homeIncarnation(),
            true),
        vm);
    return true;
  }

  private SoftRecord.OfUpstream toRecord(
      Upstream announcement, Optional<SoftRecord.OfUpstream> current) {
    boolean sameIncarnation =
        current.isPresent() && current.get().upstream().incarnation() == announcement.incarnation();
    boolean left = sameIncarnation && current.get().left();
    UpstreamState state =
        sameIncarnation
            ? UpstreamStates.afterAnnouncement(
                current.get().upstream().state(), announcement.state())
            : UpstreamStates.afterFirstAnnouncement(announcement.state());
    int load = LoadLevels.ofUpstream(announcement.load(), announcement.slots());
    state = left ? UpstreamState.LEAVING : state;
    return new SoftRecord.OfUpstream(
        UpstreamStates.with(announcement, state, load),
        vm,
        vmIncarnation,
        state == UpstreamState.LEAVING);
  }

  /**
   * Marks upstreams as lost after the announcement timeout, and reclaims records that a delayed
   * announcement moved to another home.
   */
  public synchronized void tick() {
    long nowMs = clock.millis();
    leaveNotices.values().removeIf(notice -> nowMs - notice.atMs >= LEAVE_NOTICE_RETENTION_MS);
    List.copyOf(leaveNotices.keySet()).forEach(this::markLeft);
    for (Iterator<Map.Entry<String, LastAnnouncement>> i = lastAnnouncements.entrySet().iterator();
        i.hasNext(); ) {
      Map.Entry<String, LastAnnouncement> entry = i.next();
      LastAnnouncement last = entry.getValue();
      Optional<SoftRecord.OfUpstream> current = recordOf(entry.getKey());
      if (current.isEmpty() || isNewerElsewhere(current.get(), last)) {
        i.remove();
        continue;
      }
      boolean timedOut = nowMs - last.atMs >= SyncTimings.UPSTREAM_TIMEOUT_MS;
      if (timedOut) {
        i.remove();
      }
      // An announcement that reached another home late may have moved the record there.
      if (timedOut || !hasLocalHome(current.get())) {
        table.mergeFromPoller(claim(current.get(), last.sequence, timedOut), vm);
      }
    }
  }

  private SoftRecord.OfUpstream claim(
      SoftRecord.OfUpstream current, long sequence, boolean timedOut) {
    Upstream upstream = UpstreamStates.withSequence(current.upstream(), sequence);
    UpstreamState state =
        timedOut ? UpstreamStates.afterTimeout(upstream.state()) : upstream.state();
    return new SoftRecord.OfUpstream(
        UpstreamStates.with(upstream, state, upstream.load()), vm, vmIncarnation, current.left());
  }

  private boolean isNewerElsewhere(SoftRecord.OfUpstream current, LastAnnouncement last) {
    Upstream upstream = current.upstream();
    if (upstream.incarnation() != last.incarnation) {
      return upstream.incarnation() > last.incarnation;
    }
    return !hasLocalHome(current) && upstream.sequence() >= last.sequence;
  }

  private boolean hasLocalHome(SoftRecord.OfUpstream record) {
    return record.homeVm().equals(vm) && record.homeIncarnation() == vmIncarnation;
  }

  private Optional<SoftRecord.OfUpstream> recordOf(String id) {
    return table.find(SoftRecord.OfUpstream.keyOf(id)).map(SoftRecord.OfUpstream.class::cast);
  }

  private record LeaveNotice(OptionalLong incarnation, long atMs) {

    // Of two notices the one of the later incarnation counts, or the next one if either names none.
    LeaveNotice ofLaterIncarnation(LeaveNotice next) {
      boolean bothNamed = incarnation.isPresent() && next.incarnation.isPresent();
      return bothNamed && incarnation.getAsLong() > next.incarnation.getAsLong() ? this : next;
    }

    boolean isAfter(SoftRecord.OfUpstream record) {
      return incarnation.isPresent() && incarnation.getAsLong() > record.upstream().incarnation();
    }

    boolean isBefore(SoftRecord.OfUpstream record) {
      return incarnation.isPresent() && incarnation.getAsLong() < record.upstream().incarnation();
    }
  }

  private static final class LastAnnouncement {
    private final long incarnation;
    private final long sequence;
    private final long atMs;

    private LastAnnouncement(long incarnation, long sequence, long atMs) {
      this.incarnation = incarnation;
      this.sequence = sequence;
      this.atMs = atMs;
    }
  }
}
