package org.ragwortpick.forward;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.Upstream;

/**
 * Versions of each service that the local VM has seen announced. Confined to one thread.
 *
 * <p>A VM that was frozen or cut off may have missed a version, so it starts anew after that.
 */
public final class VersionsSeen {

  /** Time for which a service must have had a single version before its streams are known by it. */
  static final long MIN_WINDOW_MS = 60_000;

  /** Longest time about which the versions of a service can be told. */
  static final long MAX_WINDOW_MS = 3_600_000;

  /** Age of the view up to which a version may be concluded from it. */
  private static final long MAX_CONCLUSION_AGE_MS = SyncTimings.MAX_SOURCE_AGE_MS;

  /**
   * Age of the view, or time without an observation as in a frozen process, after which versions
   * may have come and gone unseen.
   */
  private static final long MAX_ABSENCE_MS = SyncTimings.CONFIG_LEASE_MS;

  private final Supplier<Set<String>> services;
  private final Function<String, List<Upstream>> upstreamsOf;
  private final LongSupplier viewAgeMs;
  private final Clock clock;
  private final Map<String, Observation> observations = new HashMap<>();
  private long observedAtMs;

  /**
   * Creates the versions of a VM that has seen none yet.
   *
   * @param services names of the configured services
   * @param upstreamsOf returns the announced upstreams of a service
   * @param viewAgeMs age of the local view in milliseconds
   * @param clock monotonic clock
   */
  public VersionsSeen(
      Supplier<Set<String>> services,
      Function<String, List<Upstream>> upstreamsOf,
      LongSupplier viewAgeMs,
      Clock clock) {
    this.services = services;
    this.upstreamsOf = upstreamsOf;
    this.viewAgeMs = viewAgeMs;
    this.clock = clock;
    this.observedAtMs = clock.millis();
  }

  /** Notes which versions are announced; to be called at least once a second. */
  public void observe() {
    long nowMs = clock.millis();
    forgetIfAbsent(nowMs);
    observedAtMs = nowMs;
    if (!isViewRecent()) {
      return;
    }
    Set<String> configured = services.get();
    observations.keySet().retainAll(configured);
    for (String service : configured) {
      observations
          .computeIfAbsent(service, name -> new Observation(nowMs))
          .add(upstreamsOf.apply(service), nowMs);
    }
  }

  private void forgetIfAbsent(long nowMs) {
    if (nowMs - observedAtMs > MAX_ABSENCE_MS || !isViewRecent()) {
      observations.clear();
    }
  }

  /**
   * Returns whether the versions in the local view are recent enough to send streams by them.
   *
   * @return false if the local VM is cut off, or has just resumed from a suspension
   */
  boolean isViewRecent() {
    return viewAgeMs.getAsLong() <= MAX_ABSENCE_MS;
  }

  /**
   * Returns the only version at which streams of a service can have begun.
   *
   * @param service name of the service
   * @param maxStreamMs longest duration of a stream in milliseconds
   * @return empty if the local VM has seen several versions within that time, or was not there for
   *     all of it
   */
  Optional<String> onlyVersion(String service, long maxStreamMs) {
    long windowMs = Math.max(MIN_WINDOW_MS, maxStreamMs);
    long nowMs = clock.millis();
    forgetIfAbsent(nowMs);
    Observation observation = observations.get(service);
    if (observation == null
        || windowMs > MAX_WINDOW_MS
        || viewAgeMs.getAsLong() > MAX_CONCLUSION_AGE_MS) {
      return Optional.empty();
    }
    observation.add(upstreamsOf.apply(service), nowMs);
    return observation.onlyVersion(nowMs - windowMs);
  }

  /** Versions of one service since the beginning of a time without an absence. */
  private static final class Observation {

    private final long sinceMs;
    private final Map<String, Period> periods = new HashMap<>();

    Observation(long sinceMs) {
      this.sinceMs = sinceMs;
    }

    void add(List<Upstream> upstreams, long nowMs) {
      for (Upstream upstream : upstreams) {
        periods.merge(
            upstream.version(), new Period(nowMs, nowMs), (known, next) -> known.until(nowMs));
      }
      periods.values().removeIf(period -> period.lastMs() < nowMs - MAX_WINDOW_MS);
    }

    Optional<String> onlyVersion(long windowStartMs) {
      if (sinceMs >= windowStartMs) {
        return Optional.empty();
      }
      List<String> versions =
          periods.entrySet().stream()
              .filter(entry -> entry.getValue().lastMs() >= windowStartMs)
              .map(Map.Entry::getKey)
              .toList();
      boolean known =
          versions.size() == 1 && periods.get(versions.get(0)).firstMs() < windowStartMs;
      return known ? Optional.of(versions.get(0)) : Optional.empty();
    }
  }

  /**
   * Times at which a version was seen.
   *
   * @param firstMs monotonic time at which it was seen first
   * @param lastMs monotonic time at which it was seen last
   */
  private record Period(long firstMs, long lastMs) {
    Period until(long nowMs) {
      return new Period(firstMs, nowMs);
    }
  }
}
