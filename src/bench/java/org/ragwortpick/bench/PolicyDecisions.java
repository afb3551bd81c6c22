package org.ragwortpick.bench;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.PolicySet;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.Upstream;

/** Policies of the policy package, as an entry VM creates them. */
final class PolicyDecisions implements Decisions {

  private final PolicySet policies;
  private final VmColdAllowances allowances;
  private final long rampStepMs;

  /**
   * Creates the policies of one VM.
   *
   * @param queue event queue
   * @param dataCentre data centre of the VM
   * @param configuration configuration at the start
   * @param random source of random numbers
   * @param allowances cold allowances of the VM
   */
  PolicyDecisions(
      EventQueue queue,
      String dataCentre,
      Configuration configuration,
      RandomGenerator random,
      VmColdAllowances allowances) {
    this.policies = PolicySet.create(dataCentre, configuration, queue, random);
    this.allowances = allowances;
    this.rampStepMs = configuration.inventory().services().get(0).rampStepMs();
  }

  @Override
  public UpstreamSelector selector() {
    return policies.selector();
  }

  @Override
  public DeadlineBudget deadlineBudget() {
    return policies.deadlineBudget();
  }

  @Override
  public AdmissionController admission(boolean isPlainCall) {
    return isPlainCall ? policies.callAdmission() : policies.admission();
  }

  @Override
  public RetryBudget retryBudget() {
    return policies.retryBudget();
  }

  @Override
  public HedgePolicy hedgePolicy() {
    return policies.hedgePolicy();
  }

  @Override
  public UpstreamLimiter limiter() {
    return policies.limiter();
  }

  @Override
  public ColdAllowances allowances() {
    return allowances;
  }

  @Override
  public PrefixIndex prefixIndex() {
    return policies.prefixIndex();
  }

  @Override
  public List<Candidate> candidates(List<Upstream> upstreams) {
    return policies.candidates(upstreams);
  }

  @Override
  public void update(Configuration configuration, List<Upstream> upstreams) {
    policies.update(configuration, Deployment.ENTRY_VMS, upstreams);
  }

  @Override
  public void expire() {
    policies.expire();
  }

  @Override
  public boolean mayRetry(boolean isNonIdempotent, boolean mayHaveRun) {
    return !isNonIdempotent || !mayHaveRun;
  }

  @Override
  public boolean checksConfigurationLease() {
    return true;
  }

  @Override
  public void syncAllowances(double latencyMs, Set<String> returningDataCentres) {
    allowances.setReturning(returningDataCentres);
    allowances.sync(latencyMs, rampStepMs);
  }
}
