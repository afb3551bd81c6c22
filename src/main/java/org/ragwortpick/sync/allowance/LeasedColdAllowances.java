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
 * Leases of the local VM on shares of cold upstreams.
 *
 * <p>A lease starts when the granted demand was sent. It is void once the leader has restarted the
 * ramp, which a warm flag newer than the grant indicates.
 */
public final class LeasedColdAllowances implements ColdAllowances {

  /**
   * Time for which a demand is repeated after the last admitted or refused request, so that leases
   * do not flap.
   */
  private static final long DEMAND_REPEAT_MS = 1_000;

  /** Maximum early polls for an upstream in a window; more would load the leader in a shortage. */
  private static final int MAX_EARLY_POLLS_PER_WINDOW = 4;

  private static final long EARLY_POLL_WINDOW_MS = 1_000;

  private final String vm;
  private final long vmIncarnation;
  private final Clock clock;
  private final WarmFlags warmFlags;
  private final Runnable pollTrigger;
  private final Map<AllowanceKey, Allowance> allowances = new HashMap<>();
  private final Map<String, Long> newestIncarnations = new HashMap<>();

  /**
   * Creates allowances without leases.
   *
   * @param vm name of the local VM
   * @param vmIncarnation incarnation of the local VM
   * @param clock monotonic clock
   * @param warmFlags warm upstreams
   * @param pollTrigger called to poll early, when a request is refused for lack of a free share
   */
  public LeasedColdAllowances(
      String vm, long vmIncarnation, Clock clock, WarmFlags warmFlags, Runnable pollTrigger) {
    this.vm = vm;
    this.vmIncarnation = vmIncarnation;
    this.clock = clock;
    this.warmFlags = warmFlags;
    this.pollTrigger = pollTrigger;
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    boolean pollEarly;
    synchronized (this) {
      long nowMs = clock.millis();
      long newest = newestIncarnations.merge(upstream.id(), upstream.incarnation(), Math::max);
      if (newest > upstream.incarnation()) {
        return false;
      }
      Allowance allowance = allowanceOf(upstream);
      if (isWarm(upstream, allowance) || hasFreeShare(upstream, allowance, nowMs)) {
        allowance.inFlight++;
        allowance.peakInFlightSinceReport =
            Math.max(allowance.peakInFlightSinceReport, allowance.inFlight);
        allowance.lastActivityAtMs = nowMs;
        return true;
      }
      allowance.refusedSinceReport++;
      allowance.lastActivityAtMs = nowMs;
      allowance.maxWanted = Math.max(1, upstream.slots());
      pollEarly = allowance.tryReserveEarlyPoll(nowMs);
    }
    if (pollEarly) {
      pollTrigger.run();
    }
    return false;
  }

  private boolean isWarm(Upstream upstream, Allowance allowance) {
    return !allowance.suspected
        && upstream.state() != UpstreamState.COLD
        && warmFlags.isWarm(upstream);
  }

  private boolean hasFreeShare(Upstream upstream, Allowance allowance, long nowMs) {
    return allowance.isLeaseValid(nowMs, warmFlags.stampOf(upstream.id()))
        && allowance.inFlight < allowance.share;
  }

  @Override
  public synchronized void release(Upstream upstream) {
    Allowance allowance = allowances.get(new AllowanceKey(upstream.id(), upstream.incarnation()));
    if (allowance == null || allowance.inFlight == 0) {
      throw new IllegalStateException("no request in flight at upstream " + upstream.id());
    }
    allowance.inFlight--;
  }

  @Override
  public void reportCold(Upstream upstream) {
    synchronized (this) {
      Allowance allowance = allowanceOf(upstream);
      allowance.suspected = true;
      allowance.flagWhenSuspected = warmFlags.stampOf(upstream.id());
      allowance.lastActivityAtMs = clock.millis();
    }
    pollTrigger.run();
  }

  /**
   * Builds the reports for the leader: demands for shares, use of the accepted grants, and
   * suspected cold starts. The part of a share that a report releases is no longer used.
   *
   * @return the demands, sent at the current time
   */
  public synchronized List<Demand> demands() {
    long nowMs = clock.millis();
    List<Demand> demands = new ArrayList<>();
    for (Iterator<Map.Entry<AllowanceKey, Allowance>> i = allowances.entrySet().iterator();
        i.hasNext(); ) {
      Map.Entry<AllowanceKey, Allowance> entry = i.next();
      AllowanceKey key = entry.getKey();
      Allowance allowance = entry.getValue();
      if (allowance.isUnused(nowMs)) {
        i.remove();
        newestIncarnations.remove(key.id(), key.incarnation());
        continue;
      }
      Stamp flag = warmFlags.stampOf(key.id());
      boolean warm = warmFlags.isSet(key.id(), key.incarnation());
      allowance.endSettledSuspicion(flag, warm);
      if (!warm || allowance.suspected || !allowance.accepted.equals(Stamp.NONE)) {
        demands.add(demand(key, allowance, flag, warm, nowMs));
      }
      allowance.refusedSinceReport = 0;
      allowance.earlyPollPending = false;
      allowance.peakInFlightSinceReport = allowance.inFlight;
    }
    return demands;
  }

  private Demand demand(
      AllowanceKey key, Allowance allowance, Stamp flag, boolean warm, long nowMs) {
    int wanted = warm && !allowance.suspected ? 0 : allowance.wanted(nowMs);
    return new Demand(
        vm,
        vmIncarnation,
        nowMs,
        key.id(),
        key.incarnation(),
        wanted,
        allowance.accepted,
        allowance.inFlight,
        allowance.releaseUnwanted(wanted, nowMs, flag),
        allowance.suspected ? allowance.flagWhenSuspected : flag,
        allowance.suspected);
  }

  /**
   * Accepts a grant unless a newer one was accepted.
   *
   * @param grant the grant
   */
  public synchronized void accept(Grant grant) {
    if (!grant.holder().equals(vm) || grant.holderIncarnation() != vmIncarnation) {
      return;
    }
    Allowance allowance =
        allowances.get(new AllowanceKey(grant.upstream(), grant.upstreamIncarnation()));
    if (allowance != null && grant.stamp().compareTo(allowance.accepted) > 0) {
      allowance.accepted = grant.stamp();
      allowance.share = grant.amount();
      allowance.expiresAtMs = grant.demandSentAtMs() + SyncTimings.ALLOWANCE_LEASE_MS;
    }
  }

  private Allowance allowanceOf(Upstream upstream) {
    return allowances.computeIfAbsent(
        new AllowanceKey(upstream.id(), upstream.incarnation()), key -> new Allowance());
  }

  private record AllowanceKey(String id, long incarnation) {}

  private static final class Allowance {
    private int inFlight;
    private int peakInFlightSinceReport;
    private int refusedSinceReport;
    private int lastWanted;
    private int maxWanted = 1;
    private int earlyPolls;
    private long earlyPollWindowStartMs;
    private boolean earlyPollPending;
    private long lastActivityAtMs;
    private Stamp accepted = Stamp.NONE;
    private int share;
    private long expiresAtMs;
    private boolean suspected;
    private Stamp flagWhenSuspected = Stamp.NONE;

    private boolean isLeaseValid(long nowMs, Stamp flag) {
      return nowMs < expiresAtMs && accepted.compareTo(flag) > 0;
    }

    /**
     * Reserves an early poll for a refused request, unless one is pending or too many were made.
     */
    private boolean tryReserveEarlyPoll(long nowMs) {
      if (nowMs - earlyPollWindowStartMs >= EARLY_POLL_WINDOW_MS) {
        earlyPollWindowStartMs = nowMs;
        earlyPolls = 0;
      }
      if (earlyPollPending || earlyPolls >= MAX_EARLY_POLLS_PER_WINDOW) {
        return false;
      }
      earlyPollPending = true;
      earlyPolls++;
      return true;
    }

    private int wanted(long nowMs) {
      boolean recent = nowMs - lastActivityAtMs < DEMAND_REPEAT_MS;
      int current =
          Math.min(
              Math.max(maxWanted, inFlight),
              Math.max(peakInFlightSinceReport, inFlight + refusedSinceReport));
      lastWanted = recent ? Math.max(current, lastWanted - 1) : current;
      return recent || inFlight > 0 ? lastWanted : 0;
    }

    /** Releases the part of the share that is not wanted and returns the requests still allowed. */
    private int releaseUnwanted(int wanted, long nowMs, Stamp flag) {
      share = isLeaseValid(nowMs, flag) ? Math.min(share, Math.max(wanted, inFlight)) : 0;
      return Math.max(share, inFlight);
    }

    /** Ends a suspicion if the leader has restarted the ramp since it arose. */
    private void endSettledSuspicion(Stamp flag, boolean warm) {
      if (suspected && flag.compareTo(flagWhenSuspected) > 0) {
        suspected = warm;
        flagWhenSuspected = flag;
      }
    }

    private boolean isUnused(long nowMs) {
      long unusedFromMs =
          Math.max(lastActivityAtMs, expiresAtMs)
              + SyncTimings.ALLOWANCE_LEASE_MS
              + SyncTimings.MAX_STAGE_MS;
      return inFlight == 0 && !suspected && nowMs > unusedFromMs;
    }
  }
}
