package org.ragwortpick.policy.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.RetryShare;
import org.testng.annotations.Test;

/**
 * Guards against retry storms: retries and hedges beyond the configured percentage of first
 * attempts, also after quiet times in which unused budget could accumulate.
 */
public final class RatioRetryBudgetTest {

  private static final long SEED = 13;
  private static final int RATIO_PERCENT = 10;
  private static final int CONSTANT = 3;

  @Test
  public void neverExceedsShareOfRecentFirstAttemptsPlusConstant() {
    SplittableRandom random = new SplittableRandom(SEED);
    ManualClock clock = new ManualClock();
    RatioRetryBudget budget = new RatioRetryBudget(clock, RATIO_PERCENT, CONSTANT);
    ArrayDeque<Long> firstAttempts = new ArrayDeque<>();
    ArrayDeque<Long> taken = new ArrayDeque<>();
    int granted = 0;
    for (int step = 0; step < 200_000; step++) {
      clock.advanceMs(random.nextInt(100) == 0 ? random.nextInt(20_000) : random.nextInt(30));
      // The window of the budget moves in whole seconds and is at least 9 s long.
      long windowStartMs = clock.millis() / 1_000 * 1_000 - 9_000;
      firstAttempts.removeIf(atMs -> atMs < windowStartMs);
      taken.removeIf(atMs -> atMs < windowStartMs);
      if (random.nextInt(3) > 0) {
        budget.recordFirstAttempt();
        firstAttempts.add(clock.millis());
      } else if (budget.tryTake()) {
        taken.add(clock.millis());
        granted++;
        double allowed = CONSTANT + firstAttempts.size() * RATIO_PERCENT / 100.0;
        assertTrue(taken.size() <= allowed, "seed " + SEED + " step " + step);
      } else {
        double allowed = CONSTANT + firstAttempts.size() * RATIO_PERCENT / 100.0;
        assertTrue(taken.size() + 1 > allowed, "refused within the budget at step " + step);
      }
    }
    assertTrue(granted > 1_000);
  }

  @Test
  public void unusedBudgetDoesNotAccumulate() {
    ManualClock clock = new ManualClock();
    RatioRetryBudget budget = new RatioRetryBudget(clock, RATIO_PERCENT, CONSTANT);
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

  /** If each of nine VMs used the whole constant, they would exceed it nine times together. */
  @Test
  public void sumOverVmsStaysWithinSharedConstant() {
    int total = 58;
    int vms = 9;
    ManualClock clock = new ManualClock();
    int granted = 0;
    for (int vm = 0; vm < vms; vm++) {
      RatioRetryBudget budget =
          new RatioRetryBudget(clock, RATIO_PERCENT, () -> new RetryShare(total, vms));
      while (budget.tryTake()) {
        granted++;
      }
    }
    assertTrue(granted <= total, granted + " retries without a first attempt");
    assertTrue(granted > 0, "no retry at all");
  }
}
