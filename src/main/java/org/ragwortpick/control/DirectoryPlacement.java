package org.ragwortpick.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Service;
import org.ragwortpick.control.leader.LeaderTenure;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;

/** Placement source that uses the upstreams in the directory of the local VM. */
public final class DirectoryPlacement implements PlacementSource {

  /**
   * Time after an election until the directory of the leader is complete: one announcement interval
   * of 1 s and three relay polls of 500 ms, rounded up.
   */
  private static final long DIRECTORY_COMPLETE_AFTER_MS = 3_000;

  private final UpstreamDirectory directory;
  private final LeaderTenure tenure;

  /**
   * Creates the source.
   *
   * @param directory directory of the local VM
   * @param tenure time for which the local replica has led the group {@code config}
   */
  public DirectoryPlacement(UpstreamDirectory directory, LeaderTenure tenure) {
    this.directory = directory;
    this.tenure = tenure;
  }

  @Override
  public PlacementPlan plan(Inventory inventory, Set<String> remaining) {
    Map<String, List<Upstream>> upstreams = new HashMap<>();
    for (Service service : inventory.services()) {
      upstreams.put(service.name(), directory.upstreams(service.name()));
    }
    return PlacementPlanner.plan(inventory, remaining, upstreams);
  }

  @Override
  public boolean isComplete() {
    return tenure.leadingForMs() >= DIRECTORY_COMPLETE_AFTER_MS;
  }
}
