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
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.select.BoundedPrefixIndex;
import org.ragwortpick.policy.select.CandidateList;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.policy.select.PrefixAffinitySelector;
import org.ragwortpick.sync.Upstream;

/** Policies of one VM for admission, routing, retries, hedges and limits. */
public final class PolicySet {

  /**
   * Free slots per VM, as a multiple of an equal share. All VMs see the same free slots and may use
   * them at once; when each VM took half of all free slots, 190 requests ran on 64 slots at the
   * start of a burst.
   */
  private static final double FREE_SLOTS_FACTOR = 1.5;

  private final PrefixIndex prefixIndex;
  private final UpstreamSelector selector;
  private final DeadlineBudget deadlineBudget;
  private final FairShareAdmissionController admission;
  private final FairShareAdmissionController callAdmission;
  private final RetryBudget retryBudget;
  private final PercentileHedgePolicy hedgePolicy;
  private final AdaptiveUpstreamLimiter limiter;
  private final LeavingUpstreams leaving;
  private final RequestedPauses pauses;

  /**
   * Creates the policies of one VM.
   *
   * @param settings parameters of the policies
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
    leaving = new LeavingUpstreams(clock);
    pauses = new RequestedPauses(clock, random);
  }

  /**
   * Creates the policies of one VM with the default parameters.
   *
   * @param dataCentre data centre of the VM
   * @param configuration configuration in force
   * @param clock local monotonic clock
   * @param random source of random numbers
   * @return the policies, which admit nothing until {@link #update}
   */
  public static PolicySet create(
      String dataCentre, Configuration configuration, Clock clock, RandomGenerator random) {
    return new PolicySet(PolicySettings.DEFAULT, dataCentre, configuration, clock, random);
  }

  /**
   * Applies the current configuration, number of entry VMs and upstreams. Called when one of them
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

  /**
   * Refuses waiting requests with expired deadlines and drops the state of lost upstreams. Called a
   * few times a second.
   */
  public void expire() {
    admission.expire();
    callAdmission.expire();
    limiter.expire();
    leaving.expire();
    pauses.expire();
  }

  /**
   * Computes how many requests one VM may run at once: an equal share of the slots of a kind of
   * service, and a part of the free slots. With an equal share alone, a VM that receives more
   * requests than others would refuse some while upstreams are idle.
   *
   * @param configuration configuration in force
   * @param entryVms number of entry VMs that share the upstreams
   * @param upstreams upstreams that may receive new work
   * @param kind kind of the services whose slots count
   * @return number of requests, at least 1
   */
  public static int capacity(
      Configuration configuration, int entryVms, Collection<Upstream> upstreams, ServiceKind kind) {
    long slots = 0;
    long freeSlots = 0;
    for (Upstream upstream : upstreams) {
      boolean counts =
          configuration.service(upstream.service()).filter(s -> s.kind() == kind).isPresent()
              && configuration.takesWork(upstream.dataCentre());
      slots += counts ? upstream.slots() : 0;
      freeSlots += counts ? Math.max(0, upstream.slots() - upstream.load()) : 0;
    }
    double vms = Math.max(1, entryVms);
    return (int) Math.max(1, Math.ceil(slots / vms) + freeSlots * FREE_SLOTS_FACTOR / vms);
  }

  /**
   * Lists upstreams as candidates, which are created lazily on access.
   *
   * @param upstreams upstreams of a service that may receive new work
   * @return the candidates; may be reused until the upstreams change
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
   * which are the bottleneck of a pipeline.
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
   * Returns the budget shared by retries and hedges.
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
   * Returns the upstreams that stated in a response that they are leaving.
   *
   * @return the upstreams
   */
  public LeavingUpstreams leaving() {
    return leaving;
  }

  /**
   * Returns the pauses that upstreams requested.
   *
   * @return the pauses
   */
  public RequestedPauses pauses() {
    return pauses;
  }

  /**
   * Returns the limiter of requests per upstream.
   *
   * @return the limiter
   */
  public UpstreamLimiter limiter() {
    return limiter;
  }
}
