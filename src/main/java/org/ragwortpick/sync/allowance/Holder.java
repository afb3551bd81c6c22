package org.ragwortpick.sync.allowance;

import java.util.TreeMap;
import org.ragwortpick.sync.directory.Stamp;

/**
 * What one incarnation of a VM may still have in flight at an upstream.
 *
 * <p>The VM counts its requests against the newest grant only, so it never has more in flight than
 * the largest of its grants that are not drained.
 */
final class Holder {

  private final String name;
  private final TreeMap<Stamp, Held> grants = new TreeMap<>();
  private int wanted;
  private long wantedAtMs;
  private long turns;

  /**
   * Creates a holder without grants.
   *
   * @param name name and incarnation of the VM
   * @param turns turns with which it enters the rotation
   */
  Holder(String name, long turns) {
    this.name = name;
    this.turns = turns;
    this.wantedAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns the requests that the VM may have in flight.
   *
   * @param nowMs current time in milliseconds
   * @return the largest grant that is not drained
   */
  int counted(long nowMs) {
    grants.values().removeIf(held -> held.freeAtMs <= nowMs);
    return grants.values().stream().mapToInt(held -> held.amount).max().orElse(0);
  }

  /**
   * Adds a grant.
   *
   * @param stamp order of the grant
   * @param amount requests granted
   * @param freeAtMs time at which the last request under the grant has certainly ended
   */
  void add(Stamp stamp, int amount, long freeAtMs) {
    grants.put(stamp, new Held(amount, freeAtMs));
    turns++;
  }

  /**
   * Takes a report. Grants older than the accepted one are no longer used. The accepted one is
   * reduced to what the VM keeps only if no newer one is on its way.
   *
   * @param demand the report
   */
  void report(Demand demand) {
    Held accepted = grants.get(demand.accepted());
    if (accepted == null) {
      return;
    }
    grants.headMap(demand.accepted(), false).clear();
    boolean newest = grants.lastKey().equals(demand.accepted());
    int stillUsed = Math.max(demand.keeps(), demand.inFlight());
    accepted.amount =
        newest
            ? Math.min(Math.max(accepted.amount, demand.inFlight()), stillUsed)
            : Math.max(accepted.amount, demand.inFlight());
    if (accepted.amount == 0) {
      grants.remove(demand.accepted());
    }
  }

  /**
   * Records what the VM wants.
   *
   * @param amount requests that it would run at once
   * @param nowMs current time in milliseconds
   */
  void want(int amount, long nowMs) {
    wanted = amount;
    wantedAtMs = nowMs;
  }

  /**
   * Returns what the VM wants.
   *
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand counts in milliseconds
   * @return requests that it would run at once; 0 if its demand is too old
   */
  int wanted(long nowMs, long validMs) {
    return nowMs - wantedAtMs < validMs ? wanted : 0;
  }

  /**
   * Tells whether nothing was heard from the VM for a while.
   *
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand counts in milliseconds
   * @return true if its last demand is too old
   */
  boolean isIdle(long nowMs, long validMs) {
    return nowMs - wantedAtMs >= validMs;
  }

  /**
   * Returns the number of grants so far.
   *
   * @return the turns
   */
  long turns() {
    return turns;
  }

  /**
   * Compares holders in the order in which they are served.
   *
   * @param left one holder
   * @param right other holder
   * @return negative if the first one had fewer turns
   */
  static int inTurn(Holder left, Holder right) {
    int byTurns = Long.compare(left.turns, right.turns);
    return byTurns != 0 ? byTurns : left.name.compareTo(right.name);
  }

  /** Grant that is not drained. */
  private static final class Held {
    private int amount;
    private final long freeAtMs;

    private Held(int amount, long freeAtMs) {
      this.amount = amount;
      this.freeAtMs = freeAtMs;
    }
  }
}
