package org.ragwortpick.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Placement;
import org.ragwortpick.config.Service;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Plans which upstreams of the remaining data centres run which models, adapters and versions.
 *
 * <p>The demand is the whole inventory, because traffic does not shrink when a data centre is taken
 * out. If there are too few upstreams, each variant first gets one while upstreams are available,
 * and the rest are shared in proportion to the replicas in the inventory. The plan lists the
 * replicas that do not fit.
 */
public final class PlacementPlanner {

  private static final Comparator<ModelVariant> MOST_ADAPTERS_FIRST =
      Comparator.<ModelVariant>comparingInt(variant -> -variant.adapters().size())
          .thenComparing(ModelVariant::model)
          .thenComparing(ModelVariant::version)
          .thenComparing(variant -> variant.adapters().toString());

  private PlacementPlanner() {}

  /**
   * Plans for a set of data centres.
   *
   * @param inventory what should run
   * @param remaining names of the data centres that will take work
   * @param upstreams announced upstreams by service
   * @return the plan
   */
  public static PlacementPlan plan(
      Inventory inventory, Set<String> remaining, Map<String, List<Upstream>> upstreams) {
    List<PlannedLoad> loads = new ArrayList<>();
    List<String> unplaced = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (Service service : inventory.services()) {
      List<Upstream> usable =
          upstreams.getOrDefault(service.name(), List.of()).stream()
              .filter(upstream -> remaining.contains(upstream.dataCentre()))
              .filter(PlacementPlanner::takesWork)
              .sorted(Comparator.comparing(Upstream::id))
              .toList();
      planService(demandOf(service), usable, loads, unplaced, missing);
    }
    return new PlacementPlan(loads, unplaced, missing);
  }

  private static boolean takesWork(Upstream upstream) {
    return upstream.state() == UpstreamState.COLD || upstream.state() == UpstreamState.READY;
  }

  private static Map<ModelVariant, Integer> demandOf(Service service) {
    Map<ModelVariant, Integer> demand = new TreeMap<>(MOST_ADAPTERS_FIRST);
    for (Placement placement : service.placements()) {
      demand.merge(ModelVariant.of(service.name(), placement), placement.replicas(), Integer::sum);
    }
    return demand;
  }

  private static void planService(
      Map<ModelVariant, Integer> demand,
      List<Upstream> usable,
      List<PlannedLoad> loads,
      List<String> unplaced,
      List<String> missing) {
    Map<ModelVariant, Integer> targets = shareUpstreams(demand, usable.size());
    Map<ModelVariant, Integer> openReplicas = new HashMap<>(targets);
    List<Upstream> free = new ArrayList<>(usable);
    for (ModelVariant variant : targets.keySet()) {
      assignWithModel(variant, openReplicas, free, true, loads);
    }
    Map<ModelVariant, Integer> running = difference(targets, openReplicas);
    for (ModelVariant variant : targets.keySet()) {
      assignWithModel(variant, openReplicas, free, false, loads);
    }
    for (ModelVariant variant : targets.keySet()) {
      Iterator<Upstream> spare = free.iterator();
      while (variant.canBeLoaded() && openReplicas.get(variant) > 0 && spare.hasNext()) {
        loads.add(
            new PlannedLoad(
                spare.next().id(), OrderAction.LOAD_MODEL, variant.model(), variant.version(), ""));
        spare.remove();
        openReplicas.merge(variant, -1, Integer::sum);
      }
    }
    addShortfalls(demand, difference(targets, openReplicas), "do not fit", unplaced);
    addShortfalls(demand, running, "do not run there yet", missing);
  }

  /** Assigns upstreams that run the model: those with all adapters, or those that lack some. */
  private static void assignWithModel(
      ModelVariant variant,
      Map<ModelVariant, Integer> openReplicas,
      List<Upstream> free,
      boolean hasAllAdapters,
      List<PlannedLoad> loads) {
    Iterator<Upstream> candidates = free.iterator();
    while (openReplicas.get(variant) > 0 && candidates.hasNext()) {
      Upstream candidate = candidates.next();
      List<String> adapters = variant.missingAdapters(candidate);
      if (variant.hasModel(candidate) && adapters.isEmpty() == hasAllAdapters) {
        for (String adapter : adapters) {
          loads.add(
              new PlannedLoad(
                  candidate.id(),
                  OrderAction.LOAD_ADAPTER,
                  variant.model(),
                  variant.version(),
                  adapter));
        }
        candidates.remove();
        openReplicas.merge(variant, -1, Integer::sum);
      }
    }
  }

  /** Shares a number of upstreams among the variants, one at a time to the least served variant. */
  private static Map<ModelVariant, Integer> shareUpstreams(
      Map<ModelVariant, Integer> demand, int available) {
    Map<ModelVariant, Integer> targets = new TreeMap<>(MOST_ADAPTERS_FIRST);
    demand.keySet().forEach(variant -> targets.put(variant, 0));
    for (int i = 0; i < available; i++) {
      ModelVariant leastServed = null;
      for (ModelVariant variant : demand.keySet()) {
        if (targets.get(variant) < demand.get(variant)
            && (leastServed == null || isLessServed(variant, leastServed, demand, targets))) {
          leastServed = variant;
        }
      }
      if (leastServed == null) {
        break;
      }
      targets.merge(leastServed, 1, Integer::sum);
    }
    return targets;
  }

  private static boolean isLessServed(
      ModelVariant variant,
      ModelVariant other,
      Map<ModelVariant, Integer> demand,
      Map<ModelVariant, Integer> targets) {
    boolean hasNone = targets.get(variant) == 0;
    boolean otherHasNone = targets.get(other) == 0;
    if (hasNone != otherHasNone) {
      return hasNone;
    }
    // Compares demand / (target + 1) without rounding.
    return (long) demand.get(variant) * (targets.get(other) + 1)
        > (long) demand.get(other) * (targets.get(variant) + 1);
  }

  private static Map<ModelVariant, Integer> difference(
      Map<ModelVariant, Integer> from, Map<ModelVariant, Integer> subtract) {
    Map<ModelVariant, Integer> difference = new TreeMap<>(MOST_ADAPTERS_FIRST);
    from.forEach((variant, count) -> difference.put(variant, count - subtract.get(variant)));
    return difference;
  }

  private static void addShortfalls(
      Map<ModelVariant, Integer> demand,
      Map<ModelVariant, Integer> placed,
      String problem,
      List<String> descriptions) {
    demand.forEach(
        (variant, count) -> {
          int shortfall = count - placed.get(variant);
          if (shortfall > 0) {
            descriptions.add(
                variant.describe() + ": " + shortfall + " of " + count + " replicas " + problem);
          }
        });
  }
}
