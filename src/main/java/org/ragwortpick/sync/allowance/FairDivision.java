package org.ragwortpick.sync.allowance;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Divides a total among VMs by demand, one unit at a time, those with fewest grants first. */
final class FairDivision {

  private FairDivision() {}

  /**
   * Divides a total. If it is smaller than the number of VMs, those with the fewest grants so far
   * get one unit each, so that no VM starves.
   *
   * @param total units to divide
   * @param holders VMs that may demand units
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand is valid in milliseconds
   * @return units by holder; holders without units are absent
   */
  static Map<Holder, Integer> divide(
      int total, Collection<Holder> holders, long nowMs, long validMs) {
    List<Holder> demanding =
        holders.stream()
            .filter(h -> h.wanted(nowMs, validMs) > 0)
            .sorted(Holder::compareByGrantCount)
            .toList();
    Map<Holder, Integer> shares = new HashMap<>();
    int remaining = total;
    boolean assigned = true;
    while (remaining > 0 && assigned) {
      assigned = false;
      for (Holder holder : demanding) {
        int share = shares.getOrDefault(holder, 0);
        if (remaining > 0 && share < holder.wanted(nowMs, validMs)) {
          shares.put(holder, share + 1);
          remaining--;
          assigned = true;
        }
      }
    }
    return shares;
  }
}
