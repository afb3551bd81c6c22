package org.ragwortpick.vm;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.ragwortpick.forward.ForwardDependencies;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryShare;
import org.ragwortpick.policy.budget.RatioRetryBudget;

/** Retry budgets of the services of one VM, created on first use. Confined to one thread. */
final class ServiceRetryBudgets implements ForwardDependencies.RetryBudgets {

  private final Clock clock;
  private final int ratioPercent;
  private final Supplier<RetryShare> constant;
  private final Map<String, RetryBudget> budgets = new HashMap<>();

  /**
   * Creates the budgets.
   *
   * @param clock monotonic clock
   * @param ratioPercent retries allowed for each hundred first attempts
   * @param constant share of the retries that are allowed in addition
   */
  ServiceRetryBudgets(Clock clock, int ratioPercent, Supplier<RetryShare> constant) {
    this.clock = clock;
    this.ratioPercent = ratioPercent;
    this.constant = constant;
  }

  @Override
  public RetryBudget of(String service) {
    return budgets.computeIfAbsent(
        service, name -> new RatioRetryBudget(clock, ratioPercent, constant));
  }
}
