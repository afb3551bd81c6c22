package org.ragwortpick.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.UpstreamSelector;
import org.ragwortpick.policy.limit.DividedRate;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.SenderRank;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.rollout.VersionTraffic;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/**
 * Chooses the upstream of a request: a warm one by the selector, or a cold one if no warm one is
 * left and the local VM's share of the cold request rate permits it.
 */
public final class UpstreamChooser {

  private static final Logger LOG = Logger.getLogger(UpstreamChooser.class);

  private final Supplier<Configuration> configuration;
  private final Function<String, List<Upstream>> upstreamsOf;
  private final UpstreamSelector selector;
  private final UpstreamEstimates estimates;
  private final LeavingUpstreams leaving;
  private final RequestedPauses pauses;
  private final NamedLimits limits;
  private final RequestRateShare coldShare;
  private final String vm;
  private final Supplier<List<String>> entryVms;
  private final VersionTraffic versions;

  /**
   * Creates a chooser.
   *
   * @param configuration current configuration
   * @param upstreamsOf returns the announced upstreams of a service
   * @param selector selects among candidates
   * @param estimates load, speed and memory of upstreams
   * @param leaving upstreams that stated that they are leaving
   * @param pauses pauses that upstreams requested
   * @param limits limits that upstreams named
   * @param coldShare the local VM's share of the request rate of cold upstreams
   * @param vm name of the local VM
   * @param entryVms names of the VMs that serve callers
   * @param versions divides requests between the versions of a service
   */
  public UpstreamChooser(
      Supplier<Configuration> configuration,
      Function<String, List<Upstream>> upstreamsOf,
      UpstreamSelector selector,
      UpstreamEstimates estimates,
      LeavingUpstreams leaving,
      RequestedPauses pauses,
      NamedLimits limits,
      RequestRateShare coldShare,
      String vm,
      Supplier<List<String>> entryVms,
      VersionTraffic versions) {
    this.configuration = configuration;
    this.upstreamsOf = upstreamsOf;
    this.selector = selector;
    this.estimates = estimates;
    this.leaving = leaving;
    this.pauses = pauses;
    this.limits = limits;
    this.coldShare = coldShare;
    this.vm = vm;
    this.entryVms = entryVms;
    this.versions = versions;
  }

  /**
   * Lists the upstreams of a service that may take work.
   *
   * @param service name of the service
   * @return announced upstreams, cold or ready, in data centres that are in service, without those
   *     that stated in a response that they are leaving or whose version a rollout excludes; some
   *     may be paused
   */
  public List<Upstream> available(String service) {
    return available(ServiceVersion.any(service));
  }

  private List<Upstream> available(ServiceVersion target) {
    Configuration current = configuration.get();
    return leaving.exclude(
        upstreamsOf.apply(target.service()).stream()
            .filter(target::allows)
            .filter(upstream -> current.takesWork(upstream.dataCentre()))
            .filter(versions::allows)
            .toList());
  }

  /**
   * Takes the permit to send work to an upstream that was chosen, immediately before its first
   * byte.
   *
   * @param chosen record by which the upstream was chosen
   * @return false if since then its data centre was taken out of service, a rollout excluded its
   *     version, or it left, started again, announced another version, turned cold or requested a
   *     pause, or if its limit leaves no permit
   */
  public boolean tryPermit(Upstream chosen) {
    return mayTakeWork(chosen) && versions.permits(chosen) && limits.tryTake(chosen);
  }

  private boolean mayTakeWork(Upstream chosen) {
    return configuration.get().takesWork(chosen.dataCentre())
        && !pauses.isPaused(chosen)
        && upstreamsOf.apply(chosen.service()).stream()
            .anyMatch(current -> isUnchanged(chosen, current));
  }

  private boolean isUnchanged(Upstream chosen, Upstream current) {
    return current.id().equals(chosen.id())
        && current.incarnation() == chosen.incarnation()
        && current.version().equals(chosen.version())
        && current.address().equals(chosen.address())
        && current.dataCentre().equals(chosen.dataCentre())
        && !(chosen.state() == UpstreamState.READY && needsColdShare(current));
  }

  /** Without a rate for cold upstreams, they are selected like warm ones. */
  private boolean needsColdShare(Upstream upstream) {
    return upstream.state() == UpstreamState.COLD && coldRate(upstream.service()) > 0;
  }

  private double coldRate(String service) {
    return profile(service).map(ServiceProfile::coldRequestsPerSecond).orElse(0.0);
  }

  private Optional<ServiceProfile> profile(String service) {
    return configuration.get().routingTable().flatMap(table -> table.service(service));
  }

  private long memoryTokens(String service) {
    return profile(service).map(ServiceProfile::memoryTokens).orElse(0L);
  }

  /**
   * Returns whether upstreams may take work, now or after a pause.
   *
   * @param target the upstreams
   * @return false if none of them is announced, or all of those are excluded
   */
  boolean isAvailable(ServiceVersion target) {
    return !available(target).isEmpty();
  }

  /**
   * Returns whether a request that is to be sent later may find an upstream.
   *
   * @param delayMs time in milliseconds until it is sent
   * @param target upstreams that may run it
   * @param demand tokens of the request
   * @return false if pauses, limits or memory already exclude all upstreams at that time
   */
  boolean mayTakeAfter(long delayMs, ServiceVersion target, TokenDemand demand) {
    return pauseRemainingMs(target) <= delayMs
        && !isBeyondLimits(target)
        && !isBeyondMemory(target, demand);
  }

  /**
   * Returns whether no upstream has memory for a request.
   *
   * @param target upstreams that may run it
   * @param demand tokens of the request
   * @return false if an upstream has memory, or none is available anyway
   */
  boolean isBeyondMemory(ServiceVersion target, TokenDemand demand) {
    long memoryTokens = memoryTokens(target.service());
    return memoryTokens > 0
        && estimates.isBeyondMemory(target.service(), available(target), demand, memoryTokens);
  }

  /**
   * Returns how many more requests the upstreams of a service are expected to run at once.
   *
   * @param service name of the service
   * @return number of free slots, as far as the local VM can estimate it
   */
  int freePlaces(String service) {
    return estimates.freePlaces(service, available(service));
  }

  /**
   * Returns the time until the first upstream may get a request, if all of them have requested a
   * pause.
   *
   * @param target the upstreams
   * @return time in milliseconds; 0 if an upstream is not paused, or there are none
   */
  long pauseRemainingMs(ServiceVersion target) {
    return pauses.remainingMs(available(target));
  }

  /**
   * Returns whether upstreams have limits that leave the local VM no part.
   *
   * @param target the upstreams
   * @return false if an upstream may take a request of the local VM at some time, or there are none
   */
  private boolean isBeyondLimits(ServiceVersion target) {
    List<Upstream> upstreams = available(target);
    return !upstreams.isEmpty() && upstreams.stream().noneMatch(limits::hasPart);
  }

  /**
   * Returns the time in which upstreams together take one more request, if all of them have limits.
   *
   * @param target the upstreams
   * @return time in milliseconds; 0 if an upstream is not limited, or there are none
   */
  long limitIntervalMs(ServiceVersion target) {
    return limits.intervalMs(available(target));
  }

  /**
   * Returns the data centre of the upstream that would be chosen now, without reserving it.
   *
   * @param target upstreams that may run the request
   * @param prefix shared part of the prompt
   * @return name of the data centre; empty if no warm upstream is available
   */
  String likelyDataCentre(ServiceVersion target, PromptPrefix prefix) {
    String service = target.service();
    List<Upstream> ready =
        available(target).stream()
            .filter(upstream -> upstream.state() == UpstreamState.READY)
            .toList();
    SelectionRequest request =
        new SelectionRequest(service, prefix.hash(), prefix.tokens(), "", Set.of());
    return selector
        .select(request, estimates.describe(service, ready))
        .map(candidate -> candidate.upstream().dataCentre())
        .orElse("");
  }

  /**
   * Chooses an upstream.
   *
   * @param target upstreams that may run the request
   * @param prefix shared part of the prompt
   * @param demand tokens of the request
   * @param dataCentre data centre that holds the inputs of the request; empty if it has none
   * @param tried ids of upstreams to exclude
   * @return the upstream, if one may take the request now
   */
  Optional<Upstream> choose(
      ServiceVersion target,
      PromptPrefix prefix,
      TokenDemand demand,
      String dataCentre,
      Set<String> tried) {
    String service = target.service();
    List<Upstream> available =
        available(target).stream()
            .filter(upstream -> !pauses.isPaused(upstream))
            .filter(limits::isAvailable)
            .toList();
    return versions.inOrder(service, available).stream()
        .flatMap(group -> chooseAmong(group, service, prefix, demand, dataCentre, tried).stream())
        .findFirst();
  }

  private Optional<Upstream> chooseAmong(
      List<Upstream> available,
      String service,
      PromptPrefix prefix,
      TokenDemand demand,
      String dataCentre,
      Set<String> tried) {
    SelectionRequest request =
        new SelectionRequest(service, prefix.hash(), prefix.tokens(), dataCentre, tried);
    double coldRate = coldRate(service);
    long memoryTokens = memoryTokens(service);
    List<Upstream> selectable =
        available.stream()
            .filter(upstream -> coldRate == 0 || upstream.state() == UpstreamState.READY)
            .toList();
    Optional<Upstream> chosen =
        selectable.stream()
            .filter(upstream -> !tried.contains(upstream.id()) && limits.isOverdue(upstream))
            .findFirst()
            .or(
                () ->
                    selector
                        .select(
                            request, estimates.describe(service, selectable, demand, memoryTokens))
                        .map(Candidate::upstream))
            .or(
                () ->
                    available.stream()
                        .filter(upstream -> upstream.state() == UpstreamState.COLD)
                        .filter(upstream -> !tried.contains(upstream.id()))
                        .filter(upstream -> takesColdShare(upstream, coldRate))
                        .findFirst());
    int withoutMemory = estimates.tokens().excludedCount();
    if (chosen.isEmpty() && withoutMemory > 0 && estimates.workTimes().isReported(service)) {
      DecisionLine.of("no upstream has memory for the request")
          .with("service", service)
          .with("tokens", demand.tokens())
          .with("memoryTokens", memoryTokens)
          .with("withoutMemory", withoutMemory)
          .info(LOG);
    }
    return chosen;
  }

  private boolean takesColdShare(Upstream upstream, double coldRate) {
    return coldShare.tryTake(
        upstream.id(),
        DividedRate.ofColdUpstream(coldRate),
        SenderRank.byRendezvous(upstream.id(), vm, entryVms.get()));
  }
}
