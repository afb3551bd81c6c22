package org.ragwortpick.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Stage;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.DeadlineBudget;
import org.ragwortpick.policy.HedgePolicy;
import org.ragwortpick.policy.RetryBudget;
import org.ragwortpick.policy.RetryDecision;
import org.ragwortpick.policy.RetryShare;
import org.ragwortpick.policy.UpstreamLimiter;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.select.BoundedPrefixIndex;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.sync.UpstreamState;

/**
 * Fake implementations of the interfaces that the request path depends on. Counts the slots in use.
 */
public final class EntryFakes
    implements ConfigurationView,
        UpstreamDirectory,
        ColdAllowances,
        UpstreamLimiter,
        AdmissionController,
        DeadlineBudget,
        RetryBudget,
        HedgePolicy {

  /** Conditions that are true until a test turns them off. */
  public enum Condition {
    IN_FORCE,
    STARTS_WORK,
    ADMITS,
    RETRIES,
    FINISHES_IN_TIME
  }

  private final Set<Condition> failing = ConcurrentHashMap.newKeySet();
  private final AtomicInteger admitted = new AtomicInteger();
  private final AtomicInteger coldReports = new AtomicInteger();
  private final Map<String, AtomicInteger> slots = new ConcurrentHashMap<>();
  private volatile long hedgeDelayMs = -1;
  private volatile int slotsPerUpstream = 1_000;
  private volatile Configuration configuration = configuration(Set.of());
  private final MonotonicClock clock = new MonotonicClock();
  private final LeavingUpstreams leaving = new LeavingUpstreams(clock);
  private final RequestedPauses pauses = new RequestedPauses(clock, new SplittableRandom(1));
  private final Map<String, Upstream> upstreams = new ConcurrentHashMap<>();

  public static Upstream upstream(String id, HostPort address, String service, String dataCentre) {
    return TestUpstreams.ready(id, service, address, dataCentre, 8, 2);
  }

  /** Returns the record of the upstream after a restart, in cold start. */
  public static Upstream restarted(Upstream upstream) {
    return new Upstream(
        upstream.id(),
        upstream.incarnation() + 1,
        1,
        upstream.address(),
        upstream.dataCentre(),
        upstream.service(),
        "",
        "",
        List.of(),
        UpstreamState.COLD,
        upstream.slots(),
        upstream.coldLimit(),
        0,
        false);
  }

  public boolean holds(Condition condition) {
    return !failing.contains(condition);
  }

  public void turnOff(Condition condition) {
    failing.add(condition);
  }

  public void turnOn(Condition condition) {
    failing.remove(condition);
  }

  public void hedgeAfterMs(long delayMs) {
    hedgeDelayMs = delayMs;
  }

  public void limitSlots(int perUpstream) {
    slotsPerUpstream = perUpstream;
  }

  public void takeOut(String... dataCentres) {
    configuration = configuration(Set.of(dataCentres));
  }

  public int coldReports() {
    return coldReports.get();
  }

  public RequestPolicies policies() {
    return new RequestPolicies(
        this,
        this,
        this,
        (request, candidates) ->
            candidates.stream()
                .filter(candidate -> !request.excludedIds().contains(candidate.upstream().id()))
                .min(Comparator.comparingInt(Candidate::inFlight)),
        this,
        leaving,
        pauses,
        this,
        this,
        this,
        new BoundedPrefixIndex(100, 100));
  }

  /** Returns the number of slots and admissions in use; 0 once every attempt has ended. */
  public int slotsInUse() {
    return slots.values().stream().mapToInt(AtomicInteger::get).sum() + admitted.get();
  }

  @Override
  public Configuration current() {
    return configuration;
  }

  private static Configuration configuration(Set<String> dataCentresOut) {
    Map<String, DataCentreState> states = new ConcurrentHashMap<>();
    dataCentresOut.forEach(dataCentre -> states.put(dataCentre, DataCentreState.OUT));
    return new Configuration(
        1,
        new Inventory(
            "region",
            List.of("dc-1", "dc-2"),
            List.of(
                service("encoder", ServiceKind.ENCODER),
                service("engine", ServiceKind.ENGINE),
                service("booking", ServiceKind.PLAIN),
                service("stock", ServiceKind.PLAIN)),
            List.of(
                new Pipeline(
                    "answer",
                    3_000,
                    List.of(
                        new Stage("encode", "encoder", 0), new Stage("generate", "engine", 64)))),
            List.of(new Workspace("w1", 1))),
        new Rules(List.of("booking"), List.of(), 0, states));
  }

  private static Service service(String name, ServiceKind kind) {
    return new Service(name, kind, 8, 2, 1_000, List.of());
  }

  @Override
  public boolean isInForce() {
    return holds(Condition.IN_FORCE);
  }

  @Override
  public long confirmedAtMs() {
    return 0;
  }

  @Override
  public List<Upstream> upstreams(String service) {
    List<Upstream> found = new ArrayList<>(upstreams.values());
    found.removeIf(upstream -> !upstream.service().equals(service));
    found.sort(Comparator.comparing(Upstream::id));
    return found;
  }

  @Override
  public Optional<Upstream> find(String id) {
    return Optional.ofNullable(upstreams.get(id));
  }

  @Override
  public void announce(Upstream announcement) {
    upstreams.put(announcement.id(), announcement);
  }

  @Override
  public boolean tryAcquire(Upstream upstream) {
    // Called once as cold allowance and once as limiter; both calls count against one limit.
    AtomicInteger taken = slots(upstream);
    if (taken.incrementAndGet() > 2 * slotsPerUpstream) {
      taken.decrementAndGet();
      return false;
    }
    return true;
  }

  private AtomicInteger slots(Upstream upstream) {
    return slots.computeIfAbsent(upstream.id(), id -> new AtomicInteger());
  }

  @Override
  public void release(Upstream upstream) {
    slots(upstream).decrementAndGet();
  }

  @Override
  public void release(Upstream upstream, AttemptResult result, long firstByteMs) {
    slots(upstream).decrementAndGet();
  }

  @Override
  public void reportCold(Upstream upstream) {
    coldReports.incrementAndGet();
  }

  @Override
  public Candidate describe(Upstream upstream) {
    return new Candidate(upstream, slots(upstream).get(), 0);
  }

  @Override
  public boolean looksCold(Upstream upstream) {
    return false;
  }

  @Override
  public CompletionStage<Boolean> admit(AdmissionRequest request) {
    if (holds(Condition.ADMITS)) {
      admitted.incrementAndGet();
    }
    return CompletableFuture.completedFuture(holds(Condition.ADMITS));
  }

  @Override
  public void release(String workspace) {
    admitted.decrementAndGet();
  }

  @Override
  public void expire() {
    // Admission never waits here.
  }

  @Override
  public void update(Configuration configuration, int capacity) {
    // The configuration never changes its workspaces here.
  }

  @Override
  public long stageBudgetMs(Pipeline pipeline, int stageIndex, long remainingMs) {
    return remainingMs;
  }

  @Override
  public boolean canFinish(Pipeline pipeline, int stageIndex, long remainingMs) {
    return remainingMs > 10 && holds(Condition.FINISHES_IN_TIME);
  }

  @Override
  public void recordStage(Pipeline pipeline, int stageIndex, long elapsedMs) {
    // The budget is fixed here.
  }

  @Override
  public void recordFirstAttempt() {
    // The retry budget is unlimited or empty here.
  }

  @Override
  public RetryDecision take() {
    return new RetryDecision(holds(Condition.RETRIES), 0, 0, RetryShare.NONE);
  }

  @Override
  public OptionalLong delayMs(String service) {
    return hedgeDelayMs < 0 ? OptionalLong.empty() : OptionalLong.of(hedgeDelayMs);
  }

  @Override
  public void recordFirstByte(String service, long elapsedMs) {
    // The hedge delay is fixed here.
  }
}
