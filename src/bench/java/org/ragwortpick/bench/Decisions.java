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

/** Policies that one entry VM applies, either those of the policy package or naive ones. */
interface Decisions {

  /**
   * Returns the policy that selects an upstream for each attempt.
   *
   * @return the selector
   */
  UpstreamSelector selector();

  /**
   * Returns the policy that divides the time of a request among its stages.
   *
   * @return the budget
   */
  DeadlineBudget deadlineBudget();

  /**
   * Returns the policy that admits requests of one kind.
   *
   * @param isPlainCall true for plain calls, false for pipeline requests
   * @return the controller
   */
  AdmissionController admission(boolean isPlainCall);

  /**
   * Returns the policy that limits retries and hedges.
   *
   * @return the budget
   */
  RetryBudget retryBudget();

  /**
   * Returns the policy that decides when a hedge is sent.
   *
   * @return the policy
   */
  HedgePolicy hedgePolicy();

  /**
   * Returns the policy that limits the requests in flight at each upstream.
   *
   * @return the limiter
   */
  UpstreamLimiter limiter();

  /**
   * Returns the slots that this VM may use at cold upstreams.
   *
   * @return the allowances
   */
  ColdAllowances allowances();

  /**
   * Returns the index of prompt prefixes that engines hold.
   *
   * @return the index
   */
  PrefixIndex prefixIndex();

  /**
   * Lists upstreams as candidates for selection, with their local counts.
   *
   * @param upstreams upstreams that may receive work
   * @return the candidates
   */
  List<Candidate> candidates(List<Upstream> upstreams);

  /**
   * Updates the policies to the configuration and upstreams that the VM has received.
   *
   * @param configuration configuration of the VM
   * @param upstreams upstreams with a current announcement
   */
  void update(Configuration configuration, List<Upstream> upstreams);

  /** Refuses waiting requests with expired deadlines; called periodically. */
  void expire();

  /**
   * Tells whether a request may be retried after an attempt that failed.
   *
   * @param isNonIdempotent whether the service must not run the request twice
   * @param mayHaveRun whether the upstream may have run the request
   * @return true if the request may be retried within the retry budget
   */
  boolean mayRetry(boolean isNonIdempotent, boolean mayHaveRun);

  /**
   * Tells whether new requests are accepted only while the configuration lease is valid.
   *
   * @return true if the configuration lease is checked
   */
  boolean checksConfigurationLease();

  /**
   * Requests slots at cold upstreams from the leader.
   *
   * @param latencyMs one-way latency to the leader in milliseconds
   * @param returningDataCentres data centres that return to service
   */
  void syncAllowances(double latencyMs, Set<String> returningDataCentres);
}
