package org.ragwortpick.policy.budget;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.RetryShare;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against shares of the retry constant that add up to more than the constant. */
public final class SharedRetryConstantTest {

  private static final int CONSTANT = 58;
  private static final long STEP_MS = 500;

  /** A window, the time until retries arrive, and the configuration lease. */
  private static final long WAIT_MS = 15_000;

  private static final RetryShare SHARE_OF_THREE = new RetryShare(CONSTANT, 3);

  private ManualClock clock;
  private List<String> view;
  private long viewAgeMs;
  private long resumedAtMs;
  private SharedRetryConstant shared;

  /** Creates a VM that has waited for its share beside two others. */
  @BeforeMethod
  public void waitForShare() {
    clock = new ManualClock();
    view = List.of("a", "b", "c");
    viewAgeMs = 0;
    resumedAtMs = Long.MIN_VALUE;
    shared =
        new SharedRetryConstant(
            CONSTANT, "a", () -> view, () -> viewAgeMs, () -> resumedAtMs, clock);
    assertEquals(shared.get(), RetryShare.NONE);
    pass(WAIT_MS);
    assertEquals(shared.get(), SHARE_OF_THREE);
  }

  private void pass(long durationMs) {
    for (long passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.advanceMs(STEP_MS);
      shared.observe();
    }
  }

  private void assertWaitsAnew() {
    assertEquals(shared.get(), RetryShare.NONE);
    pass(WAIT_MS - 1_000);
    assertEquals(shared.get(), RetryShare.NONE);
    pass(1_000);
    assertEquals(shared.get().constant(), CONSTANT);
  }

  @Test
  public void lostVmCountsUntilItsRetriesHaveLeftTheWindow() {
    view = List.of("a");
    pass(WAIT_MS - 1_000);
    assertEquals(shared.get(), SHARE_OF_THREE);
    pass(1_000);
    assertEquals(shared.get(), new RetryShare(CONSTANT, 1));
  }

  @Test
  public void vmThatSeesNobodyHasNoShare() {
    view = List.of();
    pass(WAIT_MS * 2);
    assertEquals(shared.get(), RetryShare.NONE);
  }

  @Test
  public void vmThatWasMissingInItsViewWaitsAnew() {
    view = List.of("b", "c");
    pass(STEP_MS);
    view = List.of("a", "b", "c");
    assertWaitsAnew();
  }

  @Test
  public void oldViewWithholdsTheShareWhileItIsOld() {
    viewAgeMs = 2_500;
    assertEquals(shared.get(), RetryShare.NONE);
    viewAgeMs = 500;
    assertEquals(shared.get(), SHARE_OF_THREE);
  }

  @Test
  public void vmThatWasCutOffBeyondItsLeaseWaitsAnew() {
    viewAgeMs = 4_500;
    pass(STEP_MS);
    viewAgeMs = 0;
    assertWaitsAnew();
  }

  @Test
  public void frozenProcessWaitsAnew() {
    clock.advanceMs(5_000);
    assertWaitsAnew();
  }

  @Test
  public void vmThatResumesFromSuspensionWaitsAnew() {
    resumedAtMs = clock.millis();
    clock.advanceMs(1);
    assertWaitsAnew();
  }
}
