package org.ragwortpick.policy.budget;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Collection;
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

  private static final long WINDOW_MS = 10_000;

  /** Retries reach their upstreams up to half a second late, in steps of 100 ms. */
  private static final long MAX_MARGIN_MS = 700;

  private static long countIn(Collection<Long> timesMs, long afterMs, long untilMs) {
    return timesMs.stream().filter(atMs -> atMs > afterMs && atMs <= untilMs).count();
  }

  /**
   * Allowance of the window that ends at a time, if its first attempts are counted less a margin.
   */
  private static double allowed(Collection<Long> firstAttempts, long endMs, long marginMs) {
    long inWindow = countIn(firstAttempts, endMs - WINDOW_MS + marginMs, endMs);
    long inWindowBefore =
        countIn(firstAttempts, endMs - 2 * WINDOW_MS + marginMs, endMs - WINDOW_MS - marginMs);
    return CONSTANT + (inWindow + inWindowBefore) / 2.0 * RATIO_PERCENT / 100.0;
  }

  private static boolean mayRefuse(
      Collection<Long> firstAttempts, Collection<Long> taken, long nowMs) {
    for (long endMs = nowMs; endMs < nowMs + WINDOW_MS + MAX_MARGIN_MS; endMs += 50) {
      long inWindow = countIn(taken, endMs - WINDOW_MS - MAX_MARGIN_MS, nowMs);
      if (inWindow + 1 > allowed(firstAttempts, endMs, MAX_MARGIN_MS)) {
        return true;
      }
    }
    return false;
  }

  @Test
  public void keepsToFirstAttemptsPlusConstantInEveryWindow() {
    SplittableRandom random = new SplittableRandom(SEED);
    ManualClock clock = new ManualClock();
    RatioRetryBudget budget = new RatioRetryBudget(clock, RATIO_PERCENT, CONSTANT);
    ArrayDeque<Long> firstAttempts = new ArrayDeque<>();
    ArrayDeque<Long> taken = new ArrayDeque<>();
    int granted = 0;
    for (int step = 0; step < 60_000; step++) {
      clock.advanceMs(random.nextInt(100) == 0 ? random.nextInt(20_000) : random.nextInt(30));
      long nowMs = clock.millis();
      firstAttempts.removeIf(atMs -> atMs < nowMs - 3 * WINDOW_MS);
      taken.removeIf(atMs -> atMs < nowMs - 2 * WINDOW_MS);
      if (random.nextInt(10) > 0) {
        budget.recordFirstAttempt();
        firstAttempts.add(nowMs);
      } else if (budget.tryTake()) {
        taken.add(nowMs);
        granted++;
        assertTrue(
            countIn(taken, nowMs - WINDOW_MS, nowMs) <= allowed(firstAttempts, nowMs, 0),
            "seed " + SEED + " step " + step);
      } else {
        assertTrue(
            mayRefuse(firstAttempts, taken, nowMs), "refused within the budget at step " + step);
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
