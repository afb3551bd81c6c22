package org.ragwortpick.rollout;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Divides the requests of an entry VM between two versions of a service, and counts both. */
public final class VersionTraffic implements VersionGate {

  private static final Logger LOG = Logger.getLogger(VersionTraffic.class);

  private final Supplier<Configuration> configuration;
  private final LongSupplier viewAgeMs;
  private final Function<String, List<Upstream>> upstreamsOf;
  private final Clock clock;
  private final RandomGenerator random;
  private final RolloutMetrics metrics;
  private final Map<String, ServiceTraffic> services = new HashMap<>();
  private final Map<String, Rollout.State> loggedStates = new HashMap<>();

  /**
   * Creates the traffic of a VM that has sent nothing yet.
   *
   * @param configuration current configuration
   * @param viewAgeMs age of the configuration in milliseconds
   * @param upstreamsOf returns the announced upstreams of a service
   * @param clock monotonic clock
   * @param random source of randomness
   * @param metrics counters
   */
  public VersionTraffic(
      Supplier<Configuration> configuration,
      LongSupplier viewAgeMs,
      Function<String, List<Upstream>> upstreamsOf,
      Clock clock,
      RandomGenerator random,
      RolloutMetrics metrics) {
    this.configuration = configuration;
    this.viewAgeMs = viewAgeMs;
    this.upstreamsOf = upstreamsOf;
    this.clock = clock;
    this.random = random;
    this.metrics = metrics;
  }

  private Optional<Rollout> rolloutOf(String service) {
    Map<String, Rollout> rollouts = configuration.get().rollouts();
    return rollouts.isEmpty() ? Optional.empty() : Optional.ofNullable(rollouts.get(service));
  }

  private synchronized ServiceTraffic trafficOf(String service, Rollout rollout) {
    ServiceTraffic known = services.get(service);
    if (known != null && known.order() == rollout.order()) {
      return known;
    }
    ServiceTraffic begun = new ServiceTraffic(rollout.order(), random.nextDouble());
    services.put(service, begun);
    return begun;
  }

  /** A VM that might not know of a rollback sends nothing to a version on trial. */
  private boolean isViewCurrent(Rollout rollout) {
    return viewAgeMs.getAsLong() <= rollout.maxViewAgeMs();
  }

  /**
   * Returns whether an upstream may get requests at all.
   *
   * @param upstream the upstream
   * @return false if the state of a rollout excludes its version
   */
  public boolean allows(Upstream upstream) {
    return rolloutOf(upstream.service())
        .map(rollout -> rollout.allows(upstream.version()))
        .orElse(true);
  }

  /**
   * Returns whether a request may be sent now to an upstream that was chosen before.
   *
   * @param upstream the upstream
   * @return false if its version may no longer get requests
   */
  public boolean permits(Upstream upstream) {
    return rolloutOf(upstream.service())
        .map(
            rollout ->
                rollout.allows(upstream.version())
                    && (!rollout.isRunning()
                        || !rollout.isNew(upstream.version())
                        || isViewCurrent(rollout)))
        .orElse(true);
  }

  /**
   * Divides candidates into groups from which to choose, the best first. An upstream of the new
   * version is in no group if its share is used up, even if there is no other one: a full outage of
   * the old version must not expose all requests to a version that is on trial.
   *
   * @param service name of the service
   * @param candidates upstreams of the service that {@link #allows} accepts
   * @return the groups
   */
  public List<List<Upstream>> inOrder(String service, List<Upstream> candidates) {
    Optional<Rollout> running = rolloutOf(service).filter(Rollout::isRunning);
    if (running.isEmpty()) {
      return List.of(candidates);
    }
    Rollout rollout = running.get();
    List<Upstream> old =
        candidates.stream().filter(upstream -> !rollout.isNew(upstream.version())).toList();
    if (!mayUseNew(service, rollout)) {
      return List.of(old);
    }
    List<Upstream> onTrial =
        candidates.stream().filter(upstream -> rollout.isNew(upstream.version())).toList();
    return List.of(onTrial, old);
  }

  private boolean mayUseNew(String service, Rollout rollout) {
    return isViewCurrent(rollout)
        && (rollout.state() == Rollout.State.COMPLETING || hasCredit(service, rollout));
  }

  private synchronized boolean hasCredit(String service, Rollout rollout) {
    return trafficOf(service, rollout).hasCredit();
  }

  @Override
  public boolean admits(Upstream upstream) {
    Optional<Rollout> running = rolloutOf(upstream.service()).filter(Rollout::isRunning);
    if (running.isEmpty()) {
      return allows(upstream);
    }
    Rollout rollout = running.get();
    if (rollout.isNew(upstream.version())) {
      return mayUseNew(upstream.service(), rollout);
    }
    return rollout.state() == Rollout.State.RUNNING
        || !isViewCurrent(rollout)
        || upstreamsOf.apply(upstream.service()).stream()
            .noneMatch(other -> mayReplaceOld(rollout, other));
  }

  private boolean mayReplaceOld(Rollout rollout, Upstream other) {
    return rollout.isNew(other.version()) && configuration.get().takesWork(other.dataCentre());
  }

  @Override
  public boolean isDue(Upstream upstream) {
    return rolloutOf(upstream.service())
        .filter(Rollout::isRunning)
        .filter(rollout -> rollout.isNew(upstream.version()))
        .filter(rollout -> mayUseNew(upstream.service(), rollout))
        .isPresent();
  }

  /**
   * Counts a request whose first byte is about to be written.
   *
   * @param upstream upstream of the request
   * @param route name of the route, or the kind of batch call
   * @return receives the response
   */
  public synchronized SentRequest begin(Upstream upstream, String route) {
    Optional<Rollout> running = rolloutOf(upstream.service()).filter(Rollout::isRunning);
    if (running.isEmpty()) {
      return SentRequest.UNCOUNTED;
    }
    Rollout rollout = running.get();
    boolean isNew = rollout.isNew(upstream.version());
    ServiceTraffic traffic = trafficOf(upstream.service(), rollout);
    traffic.sent(isNew, rollout.share());
    return new Counted(traffic, upstream, route, isNew);
  }

  /**
   * Describes the traffic of all services in a rollout.
   *
   * @return reports without a sender
   */
  public synchronized List<VersionReport> reports() {
    Map<String, Rollout> rollouts = configuration.get().rollouts();
    List<VersionReport> reports = new ArrayList<>();
    rollouts.forEach(
        (service, rollout) -> {
          logChange(service, rollout);
          if (rollout.isRunning()) {
            ServiceTraffic traffic = trafficOf(service, rollout);
            traffic.expireBroken(this::isListed, clock.millis());
            boolean moved = rollout.state() == Rollout.State.COMPLETING && isViewCurrent(rollout);
            reports.add(traffic.report(service, moved));
          } else {
            services.remove(service);
          }
        });
    return reports;
  }

  private void logChange(String service, Rollout rollout) {
    if (loggedStates.put(service, rollout.state()) != rollout.state()) {
      DecisionLine.of("rollout applied")
          .with("service", service)
          .with("to", rollout.to())
          .with("state", rollout.state())
          .with("order", rollout.order())
          .info(LOG);
    }
  }

  private boolean isListed(Upstream upstream) {
    return upstreamsOf.apply(upstream.service()).stream()
        .anyMatch(
            listed ->
                listed.id().equals(upstream.id())
                    && listed.incarnation() == upstream.incarnation());
  }

  /** Request that counts for the version of its upstream. */
  private final class Counted implements SentRequest {

    private static final long NOT_RECEIVED = -1;

    private final ServiceTraffic traffic;
    private final Upstream upstream;
    private final String route;
    private final boolean isNew;
    private final long sentAtMs = clock.millis();
    private long firstByteMs = NOT_RECEIVED;
    private boolean ended;

    Counted(ServiceTraffic traffic, Upstream upstream, String route, boolean isNew) {
      this.traffic = traffic;
      this.upstream = upstream;
      this.route = route;
      this.isNew = isNew;
    }

    @Override
    public void onFirstByte() {
      synchronized (VersionTraffic.this) {
        firstByteMs = clock.millis() - sentAtMs;
        traffic.onAlive(upstream, sentAtMs);
      }
    }

    @Override
    public void onEnd(End end) {
      synchronized (VersionTraffic.this) {
        if (ended) {
          return;
        }
        ended = true;
        traffic.ended(isNew);
        metrics.ended(upstream.service(), isNew, end);
        count(end);
      }
    }

    private void count(End end) {
      switch (end) {
        case ANSWERED -> addAnswer(firstByteMs);
        case LATE -> addAnswer(clock.millis() - sentAtMs);
        case FAILED -> traffic.counts(route, isNew).addFailure();
        case BROKEN -> traffic.addBroken(upstream, route, isNew, clock.millis());
        default -> {
          // Says nothing about the version.
        }
      }
    }

    /** A cold upstream is slow whatever its version is. */
    private void addAnswer(long timeMs) {
      if (timeMs == NOT_RECEIVED || upstream.state() == UpstreamState.COLD) {
        traffic.counts(route, isNew).addUntimed();
      } else {
        traffic.counts(route, isNew).addTimed(timeMs);
      }
    }
  }
}
