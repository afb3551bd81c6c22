package org.ragwortpick.sync.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.directory.Stamp;

/** Number of requests that one upstream can run at once while it ramps up, and its holders. */
final class Ramp {

  /** Time for which a demand is valid; it reaches the leader within three polls. */
  private static final long DEMAND_VALIDITY_MS = 2_000;

  private final long incarnation;
  private final Map<String, Holder> holders;
  private int total;
  private long stepStartedAtMs;
  private long grantsFromMs;
  private boolean warm;

  /**
   * Creates a ramp.
   *
   * @param incarnation incarnation of the upstream
   * @param previous ramp of the previous incarnation, whose holders may not have received the new
   *     one yet; null if there is none
   */
  Ramp(long incarnation, Ramp previous) {
    this.incarnation = incarnation;
    this.holders = previous == null ? new HashMap<>() : previous.holders;
  }

  /**
   * Restarts the ramp.
   *
   * @param coldLimit requests that the upstream can run at once in cold start
   * @param fromMs time in milliseconds from which shares may be granted
   */
  void restart(int coldLimit, long fromMs) {
    total = Math.max(1, coldLimit);
    warm = false;
    grantsFromMs = Math.max(grantsFromMs, fromMs);
    stepStartedAtMs = grantsFromMs;
  }

  /**
   * Keeps the total at the cold limit, because the upstream is in cold start or takes no work.
   *
   * @param coldLimit requests that the upstream can run at once in cold start
   * @param nowMs current time in milliseconds
   */
  void holdAtColdLimit(int coldLimit, long nowMs) {
    total = Math.max(1, coldLimit);
    stepStartedAtMs = Math.max(nowMs, grantsFromMs);
  }

  /**
   * Doubles the total if a step has passed. Steps missed while the leader was paused are not made
   * up, because the leader received no reports on the upstream during that time.
   *
   * @param slots requests that the upstream runs at once when warm
   * @param stepMs length of a step in milliseconds
   * @param nowMs current time in milliseconds
   * @return true if the upstream became warm
   */
  boolean advance(int slots, long stepMs, long nowMs) {
    if (total < slots && nowMs - stepStartedAtMs >= stepMs) {
      total = (int) Math.min(slots, 2L * total);
      stepStartedAtMs = nowMs;
    }
    boolean becameWarm = !warm && total >= slots && nowMs >= grantsFromMs;
    warm |= becameWarm;
    return becameWarm;
  }

  /**
   * Applies the report of a VM and decides what to grant.
   *
   * @param demand demand and report
   * @param nowMs current time in milliseconds
   * @return requests to grant, or empty if nothing is granted
   */
  OptionalInt applyDemand(Demand demand, long nowMs) {
    Holder holder = holderOf(demand);
    holder.applyReport(demand);
    holder.setWanted(demand.wanted(), nowMs);
    if (warm || nowMs < grantsFromMs || demand.wanted() == 0) {
      return OptionalInt.empty();
    }
    int outstanding = outstanding(nowMs);
    int available = holder.maxInFlight(nowMs) + total - outstanding;
    if (outstanding > total || available <= 0) {
      return OptionalInt.empty();
    }
    int share =
        FairDivision.divide(total, holders.values(), nowMs, DEMAND_VALIDITY_MS)
            .getOrDefault(holder, 0);
    int amount = Math.min(share, available);
    return amount > 0 ? OptionalInt.of(amount) : OptionalInt.empty();
  }

  /**
   * Records a grant to a VM.
   *
   * @param demand demand that is granted
   * @param amount requests granted
   * @param stamp order of the grant
   * @param nowMs current time in milliseconds
   * @throws IllegalStateException if the outstanding grants exceed the total
   */
  void addGrant(Demand demand, int amount, Stamp stamp, long nowMs) {
    long drainedAtMs =
        nowMs
            + SyncTimings.maxLocalMs(SyncTimings.ALLOWANCE_LEASE_MS)
            + SyncTimings.maxLocalMs(SyncTimings.MAX_STAGE_MS);
    holderOf(demand).addGrant(stamp, amount, drainedAtMs);
    int outstanding = outstanding(nowMs);
    if (outstanding > total) {
      throw new IllegalStateException(
          "grants for upstream "
              + demand.upstream()
              + " allow "
              + outstanding
              + " requests, more than the total of "
              + total);
    }
  }

  private Holder holderOf(Demand demand) {
    // Requests under a lease on the previous incarnation may reach the new one, but reports on the
    // new one do not include them.
    String key =
        demand.holder() + "/" + demand.holderIncarnation() + "/" + demand.upstreamIncarnation();
    return holders.computeIfAbsent(
        key,
        // A new holder starts at the lowest grant count: it does not wait behind holders with more
        // grants, and does not stay ahead of the others for long.
        name ->
            new Holder(
                name, holders.values().stream().mapToLong(Holder::grantCount).min().orElse(0)));
  }

  /**
   * Returns the number of requests that may be in flight.
   *
   * @param nowMs current time in milliseconds
   * @return sum over all holders
   */
  int outstanding(long nowMs) {
    holders
        .values()
        .removeIf(h -> h.maxInFlight(nowMs) == 0 && h.isIdle(nowMs, DEMAND_VALIDITY_MS));
    return holders.values().stream().mapToInt(holder -> holder.maxInFlight(nowMs)).sum();
  }

  /**
   * Returns the total.
   *
   * @return requests that the upstream can run at once now
   */
  int total() {
    return total;
  }

  /**
   * Returns the incarnation.
   *
   * @return incarnation of the upstream
   */
  long incarnation() {
    return incarnation;
  }

  /**
   * Tells whether the upstream is warm.
   *
   * @return true if VMs need no lease to send requests
   */
  boolean isWarm() {
    return warm;
  }

  /** Marks the upstream warm, because the previous leader did so. */
  void restoreWarm() {
    warm = true;
    total = Integer.MAX_VALUE;
  }
}
