package org.ragwortpick.policy;

import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.policy.admission.FairShareAdmissionController;
import org.ragwortpick.policy.budget.MeasuredDeadlineBudget;
import org.ragwortpick.policy.budget.PercentileHedgePolicy;
import org.ragwortpick.policy.budget.RatioRetryBudget;
import org.ragwortpick.policy.limit.AdaptiveUpstreamLimiter;
import org.ragwortpick.policy.select.BoundedPrefixIndex;
import org.ragwortpick.policy.select.CandidateList;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.policy.select.PrefixAffinitySelector;
import org.ragwortpick.sync.Upstream;

/** All decisions of one VM. */
public final class PolicySet {

  /**
   * Several VMs see the same free slots, so that each takes one and a half equal parts of them.
   * Half of them for each VM ran 190 requests on 64 slots at the start of a burst.
   */
  private static final double FREE_PARTS = 1.5;

  private final PrefixIndex prefixIndex;
  private final UpstreamSelector selector;
  private final DeadlineBudget deadlineBudget;
  private final FairShareAdmissionController admission;
  private final FairShareAdmissionController callAdmission;
  private final RetryBudget retryBudget;
  private final PercentileHedgePolicy hedgePolicy;
  private final AdaptiveUpstreamLimiter limiter;

  /**
   * Creates the decisions of one VM.
   *
   * @param settings constants of the decisions
   * @param dataCentre data centre of the VM
   * @param configuration configuration in force
   * @param clock local monotonic clock
   * @param random source of random numbers
   */
  public PolicySet(
      PolicySettings settings,
      String dataCentre,
      Configuration configuration,
      Clock clock,
      RandomGenerator random) {
    prefixIndex = new BoundedPrefixIndex(settings.maxPrefixesPerEngine(), settings.maxPrefixes());
    selector =
        new PrefixAffinitySelector(
            new LeastLoadedSelector(dataCentre, random), prefixIndex, settings.affinityMargin());
    deadlineBudget = new MeasuredDeadlineBudget(clock);
    admission =
        new FairShareAdmissionController(
            clock, settings.maxWaitingPerWorkspace(), settings.maxWaiting());
    callAdmission =
        new FairShareAdmissionController(
            clock, settings.maxWaitingPerWorkspace(), settings.maxWaiting());
    retryBudget = new RatioRetryBudget(clock, settings.retryPercent(), settings.retryConstant());
    hedgePolicy = new PercentileHedgePolicy(clock, configuration);
    limiter = new AdaptiveUpstreamLimiter(clock, 1);
  }

  /**
   * Creates the decisions of one VM with the default constants.
   *
   * @param dataCentre data centre of the VM
   * @param configuration configuration in force
   * @param clock local monotonic clock
   * @param random source of random numbers
   * @return the decisions, which admit nothing until {@link #update}
   */
  public static PolicySet create(
      String dataCentre, Configuration configuration, Clock clock, RandomGenerator random) {
    return new PolicySet(PolicySettings.DEFAULT, dataCentre, configuration, clock, random);
  }

  /**
   * Takes the configuration, the VMs and the upstreams that are known now. Called when one of them
   * changes.
   *
   * @param configuration configuration in force
   * @param entryVms number of entry VMs that share the upstreams
   * @param upstreams upstreams that may receive new work, of all services
   */
  public void update(Configuration configuration, int entryVms, Collection<Upstream> upstreams) {
    limiter.setEntryVms(entryVms);
    hedgePolicy.update(configuration);
    admission.update(
        configuration, capacity(configuration, entryVms, upstreams, ServiceKind.ENGINE));
    callAdmission.update(
        configuration, capacity(configuration, entryVms, upstreams, ServiceKind.PLAIN));
  }

  /** Refuses overdue requests and forgets lost upstreams. Called a few times a second. */
  public void expire() {
    admission.expire();
    callAdmission.expire();
    limiter.expire();
  }

  /**
   * Computes how many requests one VM may run at once: its share of the slots of a kind, and a part
   * of the slots that are free. With a fixed share, a VM that gets more requests than others would
   * refuse them beside idle upstreams.
   *
   * @param configuration configuration in force
   * @param entryVms number of entry VMs that share the upstreams
   * @param upstreams upstreams that may receive new work
   * @param kind kind of the services that count
   * @return number of requests, at least 1
   */
  public static int capacity(
      Configuration configuration, int entryVms, Collection<Upstream> upstreams, ServiceKind kind) {
    long slots = 0;
    long free = 0;
    for (Upstream upstream : upstreams) {
      boolean counts =
          configuration.service(upstream.service()).filter(s -> s.kind() == kind).isPresent()
              && configuration.takesWork(upstream.dataCentre());
      slots += counts ? upstream.slots() : 0;
      free += counts ? Math.max(0, upstream.slots() - upstream.load()) : 0;
    }
    double vms = Math.max(1, entryVms);
    return (int) Math.max(1, Math.ceil(slots / vms) + free * FREE_PARTS / vms);
  }

  /**
   * Lists upstreams as candidates that are described when they are read.
   *
   * @param upstreams upstreams of a service that may receive new work
   * @return the candidates; may be kept until the upstreams change
   */
  public List<Candidate> candidates(List<Upstream> upstreams) {
    return new CandidateList(upstreams, limiter);
  }

  /**
   * Returns the index of prompt prefixes.
   *
   * @return the index
   */
  public PrefixIndex prefixIndex() {
    return prefixIndex;
  }

  /**
   * Returns the selector.
   *
   * @return the selector
   */
  public UpstreamSelector selector() {
    return selector;
  }

  /**
   * Returns the deadline budget.
   *
   * @return the budget
   */
  public DeadlineBudget deadlineBudget() {
    return deadlineBudget;
  }

  /**
   * Returns the admission controller of pipeline requests. Its capacity is that of the engines,
   * which are the narrowest stage of a pipeline.
   *
   * @return the controller
   */
  public AdmissionController admission() {
    return admission;
  }

  /**
   * Returns the admission controller of calls of plain services, which do not compete with
   * pipelines for engines.
   *
   * @return the controller
   */
  public AdmissionController callAdmission() {
    return callAdmission;
  }

  /**
   * Returns the budget of retries and hedges.
   *
   * @return the budget
   */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /**
   * Returns the hedge policy.
   *
   * @return the policy
   */
  public HedgePolicy hedgePolicy() {
    return hedgePolicy;
  }

  /**
   * Returns the limiter.
   *
   * @return the limiter
   */
  public UpstreamLimiter limiter() {
    return limiter;
  }
}
