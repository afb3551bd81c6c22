package org.ragwortpick.policy.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.ragwortpick.common.ManualClock;
import org.testng.annotations.Test;

/**
 * Guards against storms of retries: further attempts beyond the stated share of first attempts,
 * also after quiet times that could have saved up a budget.
 */
public final class RatioRetryBudgetTest {

  private static final long SEED = 13;
  private static final int PERCENT = 10;
  private static final int CONSTANT = 3;

  @Test
  public void neverExceedsShareOfRecentFirstAttemptsPlusConstant() {
    SplittableRandom random = new SplittableRandom(SEED);
    ManualClock clock = new ManualClock();
    RatioRetryBudget budget = new RatioRetryBudget(clock, PERCENT, CONSTANT);
    ArrayDeque<Long> first = new ArrayDeque<>();
    ArrayDeque<Long> taken = new ArrayDeque<>();
    int granted = 0;
    for (int step = 0; step < 200_000; step++) {
      clock.advanceMs(random.nextInt(100) == 0 ? random.nextInt(20_000) : random.nextInt(30));
      // The window of the budget moves in whole seconds and is at least 9 s long.
      long partStartMs = clock.millis() / 1_000 * 1_000 - 9_000;
      first.removeIf(atMs -> atMs < partStartMs);
      taken.removeIf(atMs -> atMs < partStartMs);
      if (random.nextInt(3) > 0) {
        budget.recordFirstAttempt();
        first.add(clock.millis());
      } else if (budget.tryTake()) {
        taken.add(clock.millis());
        granted++;
        double allowed = CONSTANT + first.size() * PERCENT / 100.0;
        assertTrue(taken.size() <= allowed, "seed " + SEED + " step " + step);
      } else {
        double allowed = CONSTANT + first.size() * PERCENT / 100.0;
        assertTrue(taken.size() + 1 > allowed, "refused within the budget at step " + step);
      }
    }
    assertTrue(granted > 1_000);
  }

  @Test
  public void quietHourSavesNothingUp() {
    ManualClock clock = new ManualClock();
    RatioRetryBudget budget = new RatioRetryBudget(clock, PERCENT, CONSTANT);
    for (int i = 0; i < 3_600; i++) {
      budget.recordFirstAttempt();
      clock.advanceMs(1_000);
    }
    int taken = 0;
    while (taken < 100 && budget.tryTake()) {
      taken++;
    }
    assertEquals(taken, CONSTANT);
  }

  /** Nine VMs that each kept the whole constant would retry nine times as much together. */
  @Test
  public void vmsThatShareTheConstantStayWithinItTogether() {
    int total = 58;
    int vms = 9;
    ManualClock clock = new ManualClock();
    int granted = 0;
    for (int vm = 0; vm < vms; vm++) {
      RatioRetryBudget budget = new RatioRetryBudget(clock, PERCENT, () -> total / vms);
      while (budget.tryTake()) {
        granted++;
      }
    }
    assertTrue(granted <= total, granted + " retries without any request");
    assertTrue(granted > 0, "no retry at all");
  }
}
