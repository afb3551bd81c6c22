package org.ragwortpick.control;

import java.util.Set;
import org.ragwortpick.config.Inventory;

/** Creates placement plans from the upstreams that are known at the time of the call. */
public interface PlacementSource {

  /**
   * Plans for a set of data centres.
   *
   * @param inventory what should run
   * @param remaining names of the data centres that will take work
   * @return the plan
   */
  PlacementPlan plan(Inventory inventory, Set<String> remaining);

  /**
   * Tells whether all announced upstreams are known. A new leader receives the announcements within
   * its first seconds; until then a plan may lack some upstreams.
   *
   * @return true if a plan can be relied on
   */
  boolean isComplete();
}
