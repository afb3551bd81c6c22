package org.ragwortpick.bench;

import java.util.List;
import java.util.Set;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.Upstream;

/** All decisions of one entry VM, either those of the policy package or naive ones. */
interface Decisions {

  /**
   * Returns the selector.
   *
   * @return the selector
   */
  UpstreamSelector selector();

  /**
   * Returns the deadline budget.
   *
   * @return the budget
   */
  DeadlineBudget deadlineBudget();

  /**
   * Returns the admission controller.
   *
   * @param isPlainCall whether the request is a plain call
   * @return the controller
   */
  AdmissionController admission(boolean isPlainCall);

  /**
   * Returns the retry budget.
   *
   * @return the budget
   */
  RetryBudget retryBudget();

  /**
   * Returns the hedge policy.
   *
   * @return the policy
   */
  HedgePolicy hedgePolicy();

  /**
   * Returns the limiter.
   *
   * @return the limiter
   */
  UpstreamLimiter limiter();

  /**
   * Returns the cold allowances.
   *
   * @return the allowances
   */
  ColdAllowances allowances();

  /**
   * Returns the prefix index.
   *
   * @return the index
   */
  PrefixIndex prefixIndex();

  /**
   * Lists candidates.
   *
   * @param upstreams upstreams that may receive work
   * @return the candidates
   */
  List<Candidate> candidates(List<Upstream> upstreams);

  /**
   * Takes the known state of the system.
   *
   * @param configuration configuration of the VM
   * @param upstreams upstreams that the VM knows
   */
  void update(Configuration configuration, List<Upstream> upstreams);

  /** Runs periodic work. */
  void expire();

  /**
   * Tells whether a request may be sent again after an error.
   *
   * @param isNonIdempotent whether the service must not run it twice
   * @param mayHaveRun whether the upstream may have run it
   * @return true if a retry is considered
   */
  boolean mayRetry(boolean isNonIdempotent, boolean mayHaveRun);

  /**
   * Tells whether new work needs a configuration that was confirmed lately.
   *
   * @return true if the configuration lease is checked
   */
  boolean checksConfigurationLease();

  /**
   * Exchanges cold allowances.
   *
   * @param latencyMs one-way latency in milliseconds
   * @param returningDataCentres data centres that return to service
   */
  void syncAllowances(double latencyMs, Set<String> returningDataCentres);
}
