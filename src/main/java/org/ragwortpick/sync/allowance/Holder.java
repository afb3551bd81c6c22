package org.ragwortpick.sync.allowance;

import java.util.TreeMap;
import org.ragwortpick.sync.directory.Stamp;

/**
 * Grants of one incarnation of a VM for an upstream, and the requests that may be in flight under
 * them.
 *
 * <p>The VM counts its requests against the newest grant only, so it never has more in flight than
 * the largest of its grants that are not drained.
 */
final class Holder {

  private final String name;
  private final TreeMap<Stamp, OpenGrant> grants = new TreeMap<>();
  private int wanted;
  private long wantedAtMs;
  private long grantCount;

  /**
   * Creates a holder without grants.
   *
   * @param name name and incarnation of the VM
   * @param grantCount number of grants with which it enters the rotation
   */
  Holder(String name, long grantCount) {
    this.name = name;
    this.grantCount = grantCount;
    this.wantedAtMs = Long.MIN_VALUE / 2;
  }

  /**
   * Returns the number of requests that the VM may have in flight.
   *
   * @param nowMs current time in milliseconds
   * @return the largest grant that is not drained
   */
  int maxInFlight(long nowMs) {
    grants.values().removeIf(grant -> grant.drainedAtMs <= nowMs);
    return grants.values().stream().mapToInt(grant -> grant.amount).max().orElse(0);
  }

  /**
   * Adds a grant.
   *
   * @param stamp order of the grant
   * @param amount requests granted
   * @param drainedAtMs time in milliseconds at which all requests under the grant have ended
   */
  void addGrant(Stamp stamp, int amount, long drainedAtMs) {
    grants.put(stamp, new OpenGrant(amount, drainedAtMs));
    grantCount++;
  }

  /**
   * Applies a report. Grants older than the accepted one are no longer used. The accepted one is
   * reduced to what the VM keeps, but only if no newer grant is in transit.
   *
   * @param demand the report
   */
  void applyReport(Demand demand) {
    OpenGrant accepted = grants.get(demand.accepted());
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
   * Sets the number of requests that the VM demands.
   *
   * @param amount requests that it would run at once
   * @param nowMs current time in milliseconds
   */
  void setWanted(int amount, long nowMs) {
    wanted = amount;
    wantedAtMs = nowMs;
  }

  /**
   * Returns the number of requests that the VM demands.
   *
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand is valid in milliseconds
   * @return requests that it would run at once; 0 if its demand has expired
   */
  int wanted(long nowMs, long validMs) {
    return nowMs - wantedAtMs < validMs ? wanted : 0;
  }

  /**
   * Tells whether the last demand of the VM has expired.
   *
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand is valid in milliseconds
   * @return true if it has expired
   */
  boolean isIdle(long nowMs, long validMs) {
    return nowMs - wantedAtMs >= validMs;
  }

  /**
   * Returns the number of grants so far, including the initial count.
   *
   * @return the number of grants
   */
  long grantCount() {
    return grantCount;
  }

  /**
   * Compares holders by the order in which they are served.
   *
   * @param left one holder
   * @param right other holder
   * @return negative if the first one had fewer grants; equal counts compare by name
   */
  static int compareByGrantCount(Holder left, Holder right) {
    int byGrantCount = Long.compare(left.grantCount, right.grantCount);
    return byGrantCount != 0 ? byGrantCount : left.name.compareTo(right.name);
  }

  /** Grant that is not drained. */
  private static final class OpenGrant {
    private int amount;
    private final long drainedAtMs;

    private OpenGrant(int amount, long drainedAtMs) {
      this.amount = amount;
      this.drainedAtMs = drainedAtMs;
    }
  }
}
