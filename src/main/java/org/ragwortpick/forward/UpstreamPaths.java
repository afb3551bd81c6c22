package org.ragwortpick.forward;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.upstream.PathObserver;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.sync.Upstream;

/**
 * Decides from the connections of the local VM which services it cannot reach. Confined to the I/O
 * thread, but for {@link #reachesAny}.
 *
 * <p>Answers partitions between one VM and the upstreams, in which callers and other VMs still
 * reach it. One upstream that is down, or refuses a connection, shows nothing about the VM: a
 * service counts as unreachable if several of its upstreams cannot be connected to and none shows a
 * sign of life. What is not known because the VM has sent nothing lately is found out by probes.
 */
public final class UpstreamPaths implements PathObserver {

  private static final Logger LOG = Logger.getLogger(UpstreamPaths.class);

  /** Upstreams of a service, or services, that must fail before the path to them counts as cut. */
  private static final int MIN_FAILING = 3;

  /** Time for which a failed connection says something about the path. */
  private static final long FAILURE_VALID_MS = 3_000;

  /** Time for which received bytes or a connection show that a path works. */
  private static final long ALIVE_MS = 1_000;

  /** Time without any byte from any upstream after which a request that waits is worth a probe. */
  private static final long SILENCE_MS = 700;

  /** Maximum number of connections that one round of probes opens. */
  private static final int MAX_PROBES = 9;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final Path UNKNOWN = new Path();

  private final Function<String, List<Upstream>> upstreamsOf;
  private final Supplier<Set<String>> services;
  private final Clock clock;
  private final Map<HostPort, Path> paths = new HashMap<>();
  private long failedAtMs = NEVER;
  private long aliveAtMs = NEVER;
  private long receivedAtMs = NEVER;
  private volatile boolean reachesAny = true;

  /**
   * Creates an instance that takes all upstreams for reachable.
   *
   * @param upstreamsOf returns the announced upstreams of a service
   * @param services names of the configured services
   * @param clock monotonic clock
   */
  public UpstreamPaths(
      Function<String, List<Upstream>> upstreamsOf, Supplier<Set<String>> services, Clock clock) {
    this.upstreamsOf = upstreamsOf;
    this.services = services;
    this.clock = clock;
  }

  @Override
  public void onConnected(HostPort address) {
    Path path = path(address);
    aliveAtMs = clock.millis();
    path.connectedAtMs = aliveAtMs;
    path.waitingSinceMs = NEVER;
  }

  @Override
  public void onNotConnected(HostPort address) {
    Path path = path(address);
    long nowMs = clock.millis();
    if (!path.isFailing(nowMs)) {
      path.failingSinceMs = nowMs;
    }
    path.failedAtMs = nowMs;
    failedAtMs = nowMs;
  }

  @Override
  public void onRequestWritten(HostPort address) {
    Path path = path(address);
    if (path.waitingSinceMs == NEVER) {
      path.waitingSinceMs = clock.millis();
    }
  }

  @Override
  public void onBytesReceived(HostPort address) {
    Path path = path(address);
    receivedAtMs = clock.millis();
    path.receivedAtMs = receivedAtMs;
    aliveAtMs = receivedAtMs;
    path.waitingSinceMs = NEVER;
  }

  private Path path(HostPort address) {
    return paths.computeIfAbsent(address, key -> new Path());
  }

  /**
   * Returns whether the local VM may reach a service.
   *
   * @param service name of the service
   * @return false if connections to several of its upstreams fail, or to all if there are few, and
   *     no upstream of it shows a sign of life
   */
  public boolean reaches(String service) {
    return !hasRecentFailure() || !isCut(pathsOf(service), true);
  }

  /**
   * Returns whether the local VM may open connections to a service. Connections that were opened
   * before may go on although no new ones are accepted.
   *
   * @param service name of the service
   * @return false if connections to several of its upstreams fail, or to all if there are few, and
   *     none was opened lately
   */
  public boolean connects(String service) {
    return !hasRecentFailure() || !isCut(pathsOf(service), false);
  }

  /**
   * Returns whether the local VM may reach an upstream, as found by the last round of probes.
   *
   * @return false if it reaches none of several services
   */
  public boolean reachesAny() {
    return reachesAny;
  }

  private boolean hasRecentFailure() {
    return clock.millis() - failedAtMs < FAILURE_VALID_MS;
  }

  private List<Path> pathsOf(String service) {
    return upstreamsOf.apply(service).stream()
        .map(upstream -> paths.getOrDefault(upstream.address(), UNKNOWN))
        .toList();
  }

  private boolean isCut(List<Path> candidates, boolean bytesShowLife) {
    long nowMs = clock.millis();
    List<Path> failing = candidates.stream().filter(path -> path.isFailing(nowMs)).toList();
    if (failing.isEmpty() || failing.size() < Math.min(MIN_FAILING, candidates.size())) {
      return false;
    }
    long sinceMs = failing.stream().mapToLong(path -> path.failingSinceMs).min().orElse(nowMs);
    long aliveFromMs = Math.max(sinceMs, nowMs - ALIVE_MS);
    return candidates.stream().noneMatch(path -> path.isAlive(aliveFromMs, bytesShowLife));
  }

  /**
   * Decides anew whether any upstream is reached, and selects the addresses to probe. Must be
   * called periodically.
   *
   * @return addresses to which a connection is to be opened; none while nothing is suspicious
   */
  public List<HostPort> nextProbes() {
    long nowMs = clock.millis();
    boolean silent = nowMs - receivedAtMs >= SILENCE_MS;
    List<HostPort> probes = new ArrayList<>();
    if (hasRecentFailure()) {
      List<String> suspects = services.get().stream().filter(this::isSuspicious).toList();
      suspects.forEach(service -> addProbes(service, MIN_FAILING, probes));
      if (suspects.stream().anyMatch(service -> !reaches(service))) {
        services.get().forEach(service -> addProbes(service, MIN_FAILING, probes));
      }
    } else if (silent) {
      services.get().stream()
          .filter(this::isSuspicious)
          .forEach(service -> addProbes(service, 1, probes));
    }
    updateReachesAny();
    return probes;
  }

  /**
   * A service is suspicious if something failed or is silent and nothing shows that it is alive.
   */
  private boolean isSuspicious(String service) {
    long nowMs = clock.millis();
    List<Path> candidates = pathsOf(service);
    return candidates.stream().anyMatch(path -> path.isFailing(nowMs) || path.isSilent(nowMs))
        && candidates.stream().noneMatch(path -> path.isAlive(nowMs - ALIVE_MS, true));
  }

  private void addProbes(String service, int count, List<HostPort> probes) {
    long nowMs = clock.millis();
    upstreamsOf.apply(service).stream()
        .map(Upstream::address)
        .distinct()
        .filter(address -> !probes.contains(address))
        .sorted(
            Comparator.comparingLong(address -> paths.getOrDefault(address, UNKNOWN).probedAtMs))
        .limit(Math.max(0, Math.min(count, MAX_PROBES - probes.size())))
        .forEach(
            address -> {
              path(address).probedAtMs = nowMs;
              probes.add(address);
            });
  }

  private void updateReachesAny() {
    List<String> announced =
        services.get().stream().filter(service -> !upstreamsOf.apply(service).isEmpty()).toList();
    List<String> cut = announced.stream().filter(service -> !reaches(service)).toList();
    boolean reaches =
        cut.isEmpty()
            || cut.size() < Math.min(MIN_FAILING, announced.size())
            || clock.millis() - aliveAtMs < ALIVE_MS;
    if (reaches != reachesAny) {
      reachesAny = reaches;
      DecisionLine.of(reaches ? "upstreams are reached again" : "no upstream is reached")
          .with("services", String.join(",", cut))
          .with("announced", announced.size())
          .with("sinceLastByteMs", clock.millis() - receivedAtMs)
          .info(LOG);
    }
  }

  /** Forgets the paths to addresses that have shown nothing for long. */
  public void expire() {
    long nowMs = clock.millis();
    paths.values().removeIf(path -> path.isForgettable(nowMs));
  }

  /** What the connections to one address have shown. */
  private static final class Path {
    private long connectedAtMs = NEVER;
    private long receivedAtMs = NEVER;
    private long failedAtMs = NEVER;
    private long failingSinceMs = NEVER;
    private long waitingSinceMs = NEVER;
    private long probedAtMs = NEVER;

    private boolean isFailing(long nowMs) {
      return failedAtMs > connectedAtMs && nowMs - failedAtMs < FAILURE_VALID_MS;
    }

    private boolean isSilent(long nowMs) {
      return waitingSinceMs != NEVER && nowMs - waitingSinceMs >= SILENCE_MS;
    }

    private boolean isAlive(long fromMs, boolean bytesShowLife) {
      return connectedAtMs >= fromMs || bytesShowLife && receivedAtMs >= fromMs;
    }

    private boolean isForgettable(long nowMs) {
      long lastMs =
          Math.max(
              Math.max(connectedAtMs, receivedAtMs),
              Math.max(Math.max(failedAtMs, probedAtMs), waitingSinceMs));
      return nowMs - lastMs > 2 * FAILURE_VALID_MS;
    }
  }
}
