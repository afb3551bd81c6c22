package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.Test;

/** Guards against a model that no engine runs after a data centre was taken out. */
public final class PlacementPlannerTest {

  private static PlacementPlan plan(Inventory inventory, Upstream... upstreams) {
    return PlacementPlanner.plan(
        inventory, Set.of("norte-b"), Map.of("tutor-lm", List.of(upstreams)));
  }

  @Test
  public void plansNoLoadIfAllVariantsRun() {
    Inventory inventory =
        ControlFixture.inventory(List.of(ControlFixture.place("norte-a", "tutor", 1, "safety")));
    PlacementPlan plan =
        plan(
            inventory,
            ControlFixture.engine("e1", "norte-a", "tutor", "safety"),
            ControlFixture.engine("e2", "norte-b", "tutor", "safety"));
    assertTrue(plan.isReady());
    assertEquals(plan.missing(), List.of());
  }

  @Test
  public void keepsOneEnginePerModelAndListsUnplacedReplicas() {
    Inventory inventory =
        ControlFixture.inventory(
            List.of(
                ControlFixture.place("norte-a", "rare", 1),
                ControlFixture.place("norte-a", "tutor", 2),
                ControlFixture.place("norte-b", "tutor", 2)));
    PlacementPlan plan =
        plan(
            inventory,
            ControlFixture.engine("e1", "norte-b", "tutor"),
            ControlFixture.engine("e2", "norte-b", "tutor"));
    assertEquals(
        plan.loads(), List.of(new PlannedLoad("e2", OrderAction.LOAD_MODEL, "rare", "1", "")));
    assertEquals(
        plan.unplaced(),
        List.of("service tutor-lm model tutor version 1: 3 of 4 replicas do not fit"));
    assertEquals(plan.missing().size(), 2);
  }

  @Test
  public void loadsOnlyAdapterIfModelRuns() {
    Inventory inventory =
        ControlFixture.inventory(List.of(ControlFixture.place("norte-a", "tutor", 1, "safety")));
    PlacementPlan plan =
        plan(
            inventory,
            ControlFixture.engine("e1", "norte-b", "other"),
            ControlFixture.engine("e2", "norte-b", "tutor"));
    assertEquals(
        plan.loads(),
        List.of(new PlannedLoad("e2", OrderAction.LOAD_ADAPTER, "tutor", "1", "safety")));
  }
}
