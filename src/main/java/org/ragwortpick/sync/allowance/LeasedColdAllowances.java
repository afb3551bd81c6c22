package org.ragwortpick.sync.allowance;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.directory.Stamp;
import org.ragwortpick.sync.directory.WarmFlags;

/**
 * Shares of cold upstreams leased to the local VM.
 *
 * <p>A lease counts from the time at which the granted demand was sent. It is void once the leader
 * has restarted the ramp, which it tells by a warm flag that is newer than the grant.
 */
public final class LeasedColdAllowances implements ColdAllowances {

  /** Time for which a demand is repeated after the last attempt, so that leases do not flap. */
  private static final long DEMAND_KEEP_MS = 1_000;

  /** Early polls for one upstream in a second; more would load the leader in a shortage. */
  private static final int MAX_EARLY_POLLS = 4;

  private static final long EARLY_POLL_WINDOW_MS = 1_000;

  private final String vm;
  private final long vmIncarnation;
  private final Clock clock;
  private final WarmFlags warmFlags;
  private final Runnable demandArose;
  private final Map<SlotKey, Slot> slots = new HashMap<>();
  private final Map<String, Long> newestIncarnation = new HashMap<>();

  /**
   * Creates allowances without leases.
   *
   * @param vm name of the local VM
   * @param vmIncarnation incarnation of the local VM
   * @param clock monotonic clock
   * @param warmFlags warm upstreams
   * @param demandArose called when a request found no share, to poll early
   */
  public LeasedColdAllowances(
      String vm, long vmIncarnation, Clock clock, WarmFlags warmFlags, Runnable demandArose) {
    this.vm = vm;
    this.vmIncarnation = vmIncarnation;
    this.clock = clock;
    this.warmFlags = warmFlags;
    this.demandArose = demandArose;
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    boolean pollEarly;
    synchronized (this) {
      long nowMs = clock.millis();
      long newest = newestIncarnation.merge(upstream.id(), upstream.incarnation(), Math::max);
      if (newest > upstream.incarnation()) {
        return false;
      }
      Slot slot = slot(upstream);
      if (isWarm(upstream, slot) || hasFreeShare(upstream, slot, nowMs)) {
        slot.inFlight++;
        slot.peak = Math.max(slot.peak, slot.inFlight);
        slot.usedAtMs = nowMs;
        return true;
      }
      slot.refused++;
      slot.usedAtMs = nowMs;
      slot.limit = Math.max(1, upstream.slots());
      pollEarly = slot.takeEarlyPoll(nowMs);
    }
    if (pollEarly) {
      demandArose.run();
    }
    return false;
  }

  private boolean isWarm(Upstream upstream, Slot slot) {
    return !slot.suspected && upstream.state() != UpstreamState.COLD && warmFlags.isWarm(upstream);
  }

  private boolean hasFreeShare(Upstream upstream, Slot slot, long nowMs) {
    return slot.isLeaseValid(nowMs, warmFlags.stampOf(upstream.id())) && slot.inFlight < slot.share;
  }

  @Override
  public synchronized void release(Upstream upstream) {
    Slot slot = slots.get(new SlotKey(upstream.id(), upstream.incarnation()));
    if (slot == null || slot.inFlight == 0) {
      throw new IllegalStateException("no request in flight at upstream " + upstream.id());
    }
    slot.inFlight--;
  }

  @Override
  public void reportCold(Upstream upstream) {
    synchronized (this) {
      Slot slot = slot(upstream);
      slot.suspected = true;
      slot.suspectedFlag = warmFlags.stampOf(upstream.id());
      slot.usedAtMs = clock.millis();
    }
    demandArose.run();
  }

  /**
   * Lists what to tell the leader: demands, reports on grants and suspicions. What a report gives
   * back is no longer used from then on.
   *
   * @return the demands, stamped with the current time
   */
  public synchronized List<Demand> demands() {
    long nowMs = clock.millis();
    List<Demand> demands = new ArrayList<>();
    for (Iterator<Map.Entry<SlotKey, Slot>> i = slots.entrySet().iterator(); i.hasNext(); ) {
      Map.Entry<SlotKey, Slot> entry = i.next();
      SlotKey key = entry.getKey();
      Slot slot = entry.getValue();
      if (slot.isFinished(nowMs)) {
        i.remove();
        newestIncarnation.remove(key.id(), key.incarnation());
        continue;
      }
      Stamp flag = warmFlags.stampOf(key.id());
      boolean warm = warmFlags.isSet(key.id(), key.incarnation());
      slot.settleSuspicion(flag, warm);
      if (!warm || slot.suspected || !slot.accepted.equals(Stamp.NONE)) {
        demands.add(demand(key, slot, flag, warm, nowMs));
      }
      slot.refused = 0;
      slot.earlyPollPending = false;
      slot.peak = slot.inFlight;
    }
    return demands;
  }

  private Demand demand(SlotKey key, Slot slot, Stamp flag, boolean warm, long nowMs) {
    int wanted = warm && !slot.suspected ? 0 : slot.wanted(nowMs);
    return new Demand(
        vm,
        vmIncarnation,
        nowMs,
        key.id(),
        key.incarnation(),
        wanted,
        slot.accepted,
        slot.inFlight,
        slot.keep(wanted, nowMs, flag),
        slot.suspected ? slot.suspectedFlag : flag,
        slot.suspected);
  }

  /**
   * Takes a grant. An older one than the newest accepted is ignored.
   *
   * @param grant the grant
   */
  public synchronized void accept(Grant grant) {
    if (!grant.holder().equals(vm) || grant.holderIncarnation() != vmIncarnation) {
      return;
    }
    Slot slot = slots.get(new SlotKey(grant.upstream(), grant.upstreamIncarnation()));
    if (slot != null && grant.stamp().compareTo(slot.accepted) > 0) {
      slot.accepted = grant.stamp();
      slot.share = grant.amount();
      slot.expiresAtMs = grant.demandSentAtMs() + SyncTimings.ALLOWANCE_LEASE_MS;
    }
  }

  private Slot slot(Upstream upstream) {
    return slots.computeIfAbsent(
        new SlotKey(upstream.id(), upstream.incarnation()), key -> new Slot());
  }

  private record SlotKey(String id, long incarnation) {}

  private static final class Slot {
    private int inFlight;
    private int peak;
    private int refused;
    private int lastWanted;
    private int limit = 1;
    private int earlyPolls;
    private long earlyPollsFromMs;
    private boolean earlyPollPending;
    private long usedAtMs;
    private Stamp accepted = Stamp.NONE;
    private int share;
    private long expiresAtMs;
    private boolean suspected;
    private Stamp suspectedFlag = Stamp.NONE;

    private boolean isLeaseValid(long nowMs, Stamp flag) {
      return nowMs < expiresAtMs && accepted.compareTo(flag) > 0;
    }

    /** Tells whether a refused request may cause an early poll. */
    private boolean takeEarlyPoll(long nowMs) {
      if (nowMs - earlyPollsFromMs >= EARLY_POLL_WINDOW_MS) {
        earlyPollsFromMs = nowMs;
        earlyPolls = 0;
      }
      if (earlyPollPending || earlyPolls >= MAX_EARLY_POLLS) {
        return false;
      }
      earlyPollPending = true;
      earlyPolls++;
      return true;
    }

    private int wanted(long nowMs) {
      boolean recent = nowMs - usedAtMs < DEMAND_KEEP_MS;
      int now = Math.min(Math.max(limit, inFlight), Math.max(peak, inFlight + refused));
      lastWanted = recent ? Math.max(now, lastWanted - 1) : now;
      return recent || inFlight > 0 ? lastWanted : 0;
    }

    /** Gives back what is not wanted; the rest is used as before. */
    private int keep(int wanted, long nowMs, Stamp flag) {
      share = isLeaseValid(nowMs, flag) ? Math.min(share, Math.max(wanted, inFlight)) : 0;
      return Math.max(share, inFlight);
    }

    /** Ends a suspicion once the leader has restarted the ramp after it. */
    private void settleSuspicion(Stamp flag, boolean warm) {
      if (suspected && flag.compareTo(suspectedFlag) > 0) {
        suspected = warm;
        suspectedFlag = flag;
      }
    }

    private boolean isFinished(long nowMs) {
      long keepUntilMs =
          Math.max(usedAtMs, expiresAtMs)
              + SyncTimings.ALLOWANCE_LEASE_MS
              + SyncTimings.LONGEST_STAGE_MS;
      return inFlight == 0 && !suspected && nowMs > keepUntilMs;
    }
  }
}
