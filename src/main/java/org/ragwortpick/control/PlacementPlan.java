package org.ragwortpick.control;

import java.util.List;

/**
 * Result of planning for the data centres that remain.
 *
 * @param loads loads that are still needed, at most one step per engine
 * @param unplaced what cannot fit at all, one text each
 * @param missing what does not run yet, including what cannot fit, one text each
 */
public record PlacementPlan(List<PlannedLoad> loads, List<String> unplaced, List<String> missing) {

  /** Copies the lists. */
  public PlacementPlan {
    loads = List.copyOf(loads);
    unplaced = List.copyOf(unplaced);
    missing = List.copyOf(missing);
  }

  /**
   * Tells whether no load would improve anything.
   *
   * @return true if the remaining data centres run all that fits
   */
  public boolean isReady() {
    return loads.isEmpty();
  }
}
