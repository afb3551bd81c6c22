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

/**
 * Guards against a second run of a request that may run only once, and against repeats beyond their
 * limits.
 */
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
    policy.onAttemptStarted();
    return policy;
  }

  @Test
  public void nonRepeatableRequestIsRepeatedOnlyIfNotRun() {
    assertFalse(
        policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(AttemptOutcome.LOST, false));
    assertFalse(
        policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(AttemptOutcome.FAILED, false));
    assertFalse(policy(RequestKind.STREAMING, false, 3, 9).mayRepeat(AttemptOutcome.LOST, false));
    assertTrue(
        policy(RequestKind.NON_IDEMPOTENT, false, 3, 9).mayRepeat(AttemptOutcome.NOT_RUN, false));
    assertTrue(
        policy(RequestKind.NON_IDEMPOTENT, false, 1, 0)
            .mayRepeat(AttemptOutcome.NOT_REACHED, false));
  }

  @Test
  public void repeatsAreLimitedByAttemptsAndBudget() {
    RepeatPolicy policy = policy(RequestKind.IDEMPOTENT, false, 2, 9);
    assertTrue(policy.mayRepeat(AttemptOutcome.FAILED, false));
    policy.onAttemptStarted();
    assertFalse(policy.mayRepeat(AttemptOutcome.FAILED, false));
    assertFalse(policy(RequestKind.IDEMPOTENT, false, 2, 0).mayRepeat(AttemptOutcome.LOST, false));
    assertTrue(policy(RequestKind.STREAMING, true, 2, 1).mayRepeat(AttemptOutcome.LOST, false));
  }

  @Test
  public void unreachedAttemptsAreLimited() {
    RepeatPolicy policy = policy(RequestKind.IDEMPOTENT, false, 9, 9);
    assertTrue(policy.mayRepeat(AttemptOutcome.NOT_REACHED, false));
    policy.onAttemptStarted();
    assertTrue(policy.mayRepeat(AttemptOutcome.NOT_REACHED, false));
    policy.onAttemptStarted();
    assertFalse(policy.mayRepeat(AttemptOutcome.NOT_REACHED, false));
  }
}
