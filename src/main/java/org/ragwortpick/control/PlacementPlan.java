package org.ragwortpick.control;

import java.util.List;

/**
 * Placement plan for the remaining data centres.
 *
 * @param loads loads that are still needed, either one model or adapters for each engine
 * @param unplaced descriptions of the replicas that do not fit
 * @param missing descriptions of the replicas that do not run yet, including those that do not fit
 */
public record PlacementPlan(List<PlannedLoad> loads, List<String> unplaced, List<String> missing) {

  /** Copies the lists. */
  public PlacementPlan {
    loads = List.copyOf(loads);
    unplaced = List.copyOf(unplaced);
    missing = List.copyOf(missing);
  }

  /**
   * Tells whether no further load is needed.
   *
   * @return true if the remaining data centres run all that fits
   */
  public boolean isReady() {
    return loads.isEmpty();
  }
}
