package org.ragwortpick.policy.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Stage;
import org.testng.annotations.Test;

/**
 * Guards against early stages that use up the time of later ones, refusals based on too few or
 * outdated measurements, and hedges of calls that must not run twice.
 */
public final class MeasuredTimesTest {

  private static final Pipeline PIPELINE =
      new Pipeline("p", 3_000, List.of(new Stage("a", "s", 0), new Stage("b", "t", 0)));

  private final ManualClock clock = new ManualClock();

  private MeasuredDeadlineBudget measuredBudget(long firstMs, long secondMs, int samples) {
    MeasuredDeadlineBudget budget = new MeasuredDeadlineBudget(clock);
    for (int i = 0; i < samples; i++) {
      budget.recordStage(PIPELINE, 0, firstMs);
      budget.recordStage(PIPELINE, 1, secondMs);
    }
    return budget;
  }

  @Test
  public void stageBudgetReservesP95OfLaterStages() {
    MeasuredDeadlineBudget budget = measuredBudget(100, 1_000, 50);
    assertEquals(budget.stageBudgetMs(PIPELINE, 0, 3_000), 2_000, 10);
    assertEquals(budget.stageBudgetMs(PIPELINE, 1, 3_000), 3_000);
    assertFalse(budget.canFinish(PIPELINE, 0, 1_000));
    assertTrue(budget.canFinish(PIPELINE, 0, 1_200));
  }

  @Test
  public void ignoresFewOrOutdatedSamples() {
    assertTrue(measuredBudget(100, 1_000, 5).canFinish(PIPELINE, 0, 1));
    MeasuredDeadlineBudget budget = measuredBudget(100, 1_000, 50);
    clock.advanceMs(60_000);
    assertTrue(budget.canFinish(PIPELINE, 0, 1));
    assertEquals(budget.estimateRemainingMs(PIPELINE, 0), 0);
  }

  @Test
  public void stageBudgetNeverExceedsRemainingTime() {
    MeasuredDeadlineBudget budget = measuredBudget(100, 1_000, 50);
    for (long remainingMs = 1; remainingMs < 4_000; remainingMs += 7) {
      long stageMs = budget.stageBudgetMs(PIPELINE, 0, remainingMs);
      assertTrue(stageMs >= 1 && stageMs <= remainingMs, "remaining " + remainingMs);
    }
    assertEquals(budget.stageBudgetMs(PIPELINE, 0, 0), 0);
  }

  @Test
  public void hedgesAfterP95AndNeverForNonIdempotentServices() {
    Rules rules = new Rules(List.of("booking"), List.of(), 0, Map.of());
    PercentileHedgePolicy policy =
        new PercentileHedgePolicy(clock, new Configuration(1, Inventory.EMPTY, rules));
    assertEquals(policy.delayMs("s"), OptionalLong.empty());
    for (int i = 1; i <= 100; i++) {
      policy.recordFirstByte("s", i);
      policy.recordFirstByte("booking", i);
    }
    clock.advanceMs(200);
    assertEquals(policy.delayMs("s").getAsLong(), 95, 1);
    assertEquals(policy.delayMs("s", 900).getAsLong(), 300);
    assertEquals(policy.delayMs("booking"), OptionalLong.empty());
    assertEquals(policy.delayMs("booking", 900), OptionalLong.empty());
  }
}
