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
 * <p>The demand is the whole inventory: traffic does not shrink when a data centre leaves. If there
 * are too few upstreams, each variant gets at least one as long as there is one, and the rest is
 * shared in proportion to the replicas in the inventory. What is cut is named.
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
    Map<ModelVariant, Integer> targets = targets(demand, usable.size());
    Map<ModelVariant, Integer> open = new HashMap<>(targets);
    List<Upstream> free = new ArrayList<>(usable);
    for (ModelVariant variant : targets.keySet()) {
      take(variant, open, free, true, loads);
    }
    Map<ModelVariant, Integer> running = difference(targets, open);
    for (ModelVariant variant : targets.keySet()) {
      take(variant, open, free, false, loads);
    }
    for (ModelVariant variant : targets.keySet()) {
      Iterator<Upstream> spare = free.iterator();
      while (variant.canBeLoaded() && open.get(variant) > 0 && spare.hasNext()) {
        loads.add(
            new PlannedLoad(
                spare.next().id(), OrderAction.LOAD_MODEL, variant.model(), variant.version(), ""));
        spare.remove();
        open.merge(variant, -1, Integer::sum);
      }
    }
    describe(demand, difference(targets, open), "do not fit", unplaced);
    describe(demand, running, "do not run there yet", missing);
  }

  /** Assigns the upstreams that run the model, either with all adapters or by loading the rest. */
  private static void take(
      ModelVariant variant,
      Map<ModelVariant, Integer> open,
      List<Upstream> free,
      boolean complete,
      List<PlannedLoad> loads) {
    Iterator<Upstream> candidates = free.iterator();
    while (open.get(variant) > 0 && candidates.hasNext()) {
      Upstream candidate = candidates.next();
      List<String> adapters = variant.missingAdapters(candidate);
      if (variant.hasModel(candidate) && adapters.isEmpty() == complete) {
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
        open.merge(variant, -1, Integer::sum);
      }
    }
  }

  /** Shares a number of upstreams among the variants, one at a time to the least served one. */
  private static Map<ModelVariant, Integer> targets(
      Map<ModelVariant, Integer> demand, int available) {
    Map<ModelVariant, Integer> targets = new TreeMap<>(MOST_ADAPTERS_FIRST);
    demand.keySet().forEach(variant -> targets.put(variant, 0));
    for (int i = 0; i < available; i++) {
      ModelVariant neediest = null;
      for (ModelVariant variant : demand.keySet()) {
        if (targets.get(variant) < demand.get(variant)
            && (neediest == null || isNeedier(variant, neediest, demand, targets))) {
          neediest = variant;
        }
      }
      if (neediest == null) {
        break;
      }
      targets.merge(neediest, 1, Integer::sum);
    }
    return targets;
  }

  private static boolean isNeedier(
      ModelVariant variant,
      ModelVariant other,
      Map<ModelVariant, Integer> demand,
      Map<ModelVariant, Integer> targets) {
    boolean none = targets.get(variant) == 0;
    boolean otherNone = targets.get(other) == 0;
    if (none != otherNone) {
      return none;
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

  private static void describe(
      Map<ModelVariant, Integer> demand,
      Map<ModelVariant, Integer> placed,
      String verb,
      List<String> texts) {
    demand.forEach(
        (variant, count) -> {
          int rest = count - placed.get(variant);
          if (rest > 0) {
            texts.add(variant.describe() + ": " + rest + " of " + count + " replicas " + verb);
          }
        });
  }
}
