package org.ragwortpick.sync.allowance;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.directory.Stamp;

/** Total that one upstream bears while it ramps up, and the VMs that hold parts of it. */
final class Ramp {

  /** Time for which a demand counts: a demand passes at most three polls on its way. */
  private static final long DEMAND_VALID_MS = 2_000;

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
   * @param previous ramp of the previous incarnation, whose holders may not know the new one yet;
   *     null if there is none
   */
  Ramp(long incarnation, Ramp previous) {
    this.incarnation = incarnation;
    this.holders = previous == null ? new HashMap<>() : previous.holders;
  }

  /**
   * Starts the ramp again.
   *
   * @param coldLimit requests that the upstream bears in cold start
   * @param fromMs time from which shares may be granted in milliseconds
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
   * @param coldLimit requests that the upstream bears in cold start
   * @param nowMs current time in milliseconds
   */
  void hold(int coldLimit, long nowMs) {
    total = Math.max(1, coldLimit);
    stepStartedAtMs = Math.max(nowMs, grantsFromMs);
  }

  /**
   * Doubles the total if a step has passed. A leader that was paused makes up for no missed step,
   * because it did not see whether there was trouble.
   *
   * @param slots requests that the upstream runs at once when warm
   * @param stepMs length of a step in milliseconds
   * @param nowMs current time in milliseconds
   * @return true if the upstream is warm from now on
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
   * Takes the report of a VM and decides what to grant.
   *
   * @param demand demand and report
   * @param nowMs current time in milliseconds
   * @return requests to grant, or empty for none
   */
  OptionalInt demand(Demand demand, long nowMs) {
    Holder holder = holder(demand);
    holder.report(demand);
    holder.want(demand.wanted(), nowMs);
    if (warm || nowMs < grantsFromMs || demand.wanted() == 0) {
      return OptionalInt.empty();
    }
    int outstanding = outstanding(nowMs);
    int available = holder.counted(nowMs) + total - outstanding;
    if (outstanding > total || available <= 0) {
      return OptionalInt.empty();
    }
    int share =
        FairDivision.divide(total, holders.values(), nowMs, DEMAND_VALID_MS)
            .getOrDefault(holder, 0);
    int amount = Math.min(share, available);
    return amount > 0 ? OptionalInt.of(amount) : OptionalInt.empty();
  }

  /**
   * Books a grant.
   *
   * @param demand demand that is granted
   * @param amount requests granted
   * @param stamp order of the grant
   * @param nowMs current time in milliseconds
   * @throws IllegalStateException if the holdings would exceed the total
   */
  void book(Demand demand, int amount, Stamp stamp, long nowMs) {
    long freeAtMs =
        nowMs
            + SyncTimings.longestLocalMs(SyncTimings.ALLOWANCE_LEASE_MS)
            + SyncTimings.longestLocalMs(SyncTimings.LONGEST_STAGE_MS);
    holder(demand).add(stamp, amount, freeAtMs);
    int outstanding = outstanding(nowMs);
    if (outstanding > total) {
      throw new IllegalStateException(
          "holdings " + outstanding + " exceed the total " + total + " of " + demand.upstream());
    }
  }

  private Holder holder(Demand demand) {
    // Requests under a lease on the previous incarnation may reach the new one, and reports on the
    // new one say nothing about them.
    String key =
        demand.holder() + "/" + demand.holderIncarnation() + "/" + demand.upstreamIncarnation();
    return holders.computeIfAbsent(
        key,
        // A newcomer waits behind nobody who had more turns, and does not overtake for long.
        name ->
            new Holder(name, holders.values().stream().mapToLong(Holder::turns).min().orElse(0)));
  }

  /**
   * Returns the requests that may be in flight.
   *
   * @param nowMs current time in milliseconds
   * @return sum over all holders
   */
  int outstanding(long nowMs) {
    holders.values().removeIf(h -> h.counted(nowMs) == 0 && h.isIdle(nowMs, DEMAND_VALID_MS));
    return holders.values().stream().mapToInt(holder -> holder.counted(nowMs)).sum();
  }

  /**
   * Returns the total.
   *
   * @return requests that the upstream bears now
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
   * @return true if VMs need no share
   */
  boolean isWarm() {
    return warm;
  }

  /** Takes over the warm flag of the previous leader. */
  void adoptWarm() {
    warm = true;
    total = Integer.MAX_VALUE;
  }
}
