package org.ragwortpick.sync.allowance;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Division of a total among VMs by demand, one unit at a time, fewest turns first. */
final class FairDivision {

  private FairDivision() {}

  /**
   * Divides a total. If it is smaller than the number of VMs, those with the fewest turns get one
   * unit each, so that each VM gets its turn.
   *
   * @param total units to divide
   * @param holders VMs that may want units
   * @param nowMs current time in milliseconds
   * @param validMs time for which a demand counts in milliseconds
   * @return units by holder; holders without units are absent
   */
  static Map<Holder, Integer> divide(
      int total, Collection<Holder> holders, long nowMs, long validMs) {
    List<Holder> demanding =
        holders.stream().filter(h -> h.wanted(nowMs, validMs) > 0).sorted(Holder::inTurn).toList();
    Map<Holder, Integer> shares = new HashMap<>();
    int left = total;
    boolean progress = true;
    while (left > 0 && progress) {
      progress = false;
      for (Holder holder : demanding) {
        int share = shares.getOrDefault(holder, 0);
        if (left > 0 && share < holder.wanted(nowMs, validMs)) {
          shares.put(holder, share + 1);
          left--;
          progress = true;
        }
      }
    }
    return shares;
  }
}
