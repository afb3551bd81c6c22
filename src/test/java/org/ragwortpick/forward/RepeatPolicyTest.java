package org.ragwortpick.forward;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.policy.budget.RatioRetryBudget;
import org.ragwortpick.routing.RequestKind;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.WeightedService;
import org.testng.annotations.Test;

/** Guards against a second run of what may run once, and against repeats beyond their bounds. */
public final class RepeatPolicyTest {

  private static RepeatPolicy policy(
      RequestKind kind, boolean resumable, int attempts, int budget) {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            kind,
            1_000,
            100,
            0,
            List.of(new WeightedService("s", 1)),
            attempts,
            List.of(),
            false,
            resumable);
    RepeatPolicy policy =
        new RepeatPolicy(route, new RatioRetryBudget(new ManualClock(), 0, budget));
    policy.sending();
    return policy;
  }

  @Test
  public void whatMayRunOnceIsRepeatedOnlyIfItCertainlyDidNotRun() {
    assertFalse(policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(SendOutcome.LOST));
    assertFalse(policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(SendOutcome.FAILED));
    assertFalse(policy(RequestKind.STREAMING, false, 3, 9).mayRepeat(SendOutcome.LOST));
    assertTrue(policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(SendOutcome.NOT_RUN));
    assertTrue(policy(RequestKind.NON_IDEMPOTENT, false, 1, 0).mayRepeat(SendOutcome.NOT_REACHED));
  }

  @Test
  public void whatMayBeRepeatedStaysWithinAttemptsAndBudget() {
    RepeatPolicy policy = policy(RequestKind.IDEMPOTENT, false, 2, 9);
    assertTrue(policy.mayRepeat(SendOutcome.FAILED));
    policy.sending();
    assertFalse(policy.mayRepeat(SendOutcome.FAILED));
    assertFalse(policy(RequestKind.IDEMPOTENT, false, 2, 0).mayRepeat(SendOutcome.LOST));
    assertTrue(policy(RequestKind.STREAMING, true, 2, 1).mayRepeat(SendOutcome.LOST));
  }

  @Test
  public void upstreamsThatAreNotReachedEndTheSearch() {
    RepeatPolicy policy = policy(RequestKind.IDEMPOTENT, false, 9, 9);
    assertTrue(policy.mayRepeat(SendOutcome.NOT_REACHED));
    policy.sending();
    assertTrue(policy.mayRepeat(SendOutcome.NOT_REACHED));
    policy.sending();
    assertFalse(policy.mayRepeat(SendOutcome.NOT_REACHED));
  }
}
