package org.ragwortpick.rollout;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Judges the new version of a service by its responses, on each route and over all of them. A
 * version is bad if failures or slow responses are significantly more frequent than those of the
 * old version at the same time.
 */
final class VersionJudge {

  /** Bad responses from which a clear excess is enough, well below the 50 of the bound. */
  private static final long MANY_BAD = 30;

  /** Factor of the usual rate that is a clear excess. */
  private static final double CLEAR_EXCESS = 1.5;

  /** Responses below which the evidence is too thin to call a version good. */
  private static final long THIN_RESPONSES = 30;

  /** Responses of the old version from which the new one should have some too. */
  private static final long ENOUGH_OLD_RESPONSES = 100;

  private static final double TOLERATED_SLOW_RATE = 0.1;

  private final Map<String, RouteEvidence> routes = new TreeMap<>();
  private final ChangeDetector failures = new ChangeDetector(0.05, 0.2, 0.6);
  private final ChangeDetector slowness = new ChangeDetector(0.2, 0.5, 0.9);

  /**
   * Adds responses on one route.
   *
   * @param route name of the route
   * @param oldVersion responses of the old version
   * @param newVersion responses of the new version
   */
  void add(String route, VersionCounts oldVersion, VersionCounts newVersion) {
    routes.computeIfAbsent(route, name -> new RouteEvidence()).add(oldVersion, newVersion);
  }

  /**
   * Compares the responses that were added since the last step.
   *
   * @param nowMs time in milliseconds
   */
  void step(long nowMs) {
    Collection<RouteEvidence> all = routes.values();
    all.forEach(route -> route.step(nowMs));
    failures.add(
        sum(route -> route.lastStep().responses()),
        sum(route -> route.lastStep().failures()),
        mean(route -> route.lastStep().responses(), RouteEvidence::usualFailureRate));
    slowness.add(
        sum(route -> route.lastStep().timed()),
        sum(route -> route.lastStep().slow()),
        mean(route -> route.lastStep().timed(), RouteEvidence::usualSlowRate));
  }

  private long sum(ToLongFunction<RouteEvidence> value) {
    return routes.values().stream().mapToLong(value).sum();
  }

  /** Returns the mean of a rate, weighted by the responses of the new version. */
  private double mean(ToLongFunction<RouteEvidence> weight, ToDoubleFunction<RouteEvidence> rate) {
    long total = sum(weight);
    return total == 0
        ? 0.5
        : routes.values().stream()
                .mapToDouble(route -> weight.applyAsLong(route) * rate.applyAsDouble(route))
                .sum()
            / total;
  }

  /**
   * Returns whether the new version is significantly worse than the old one.
   *
   * @return whether it is to be rolled back
   */
  boolean isBad() {
    return evidence() >= ChangeDetector.ALARM
        || hasManyBad()
        || routes.values().stream().anyMatch(RouteEvidence::isFarSlower);
  }

  private boolean hasManyBad() {
    double expected =
        routes.values().stream()
            .mapToDouble(
                route -> route.newResponses() * (route.usualFailureRate() + route.usualSlowRate()))
            .sum();
    return badResponses() >= MANY_BAD && badResponses() >= CLEAR_EXCESS * expected;
  }

  /**
   * Returns the strongest evidence against the new version.
   *
   * @return log likelihood ratio; bad from {@link ChangeDetector#ALARM} on
   */
  double evidence() {
    double strongest = Math.max(failures.evidence(), slowness.evidence());
    for (RouteEvidence route : routes.values()) {
      strongest = Math.max(strongest, route.evidence());
    }
    return strongest;
  }

  /**
   * Returns whether nothing speaks against moving all traffic to the new version.
   *
   * @return false if it is suspect, or if there are few responses and bad ones among them
   */
  boolean isAcceptable() {
    long responses = newResponses();
    if (responses == 0) {
      return sum(RouteEvidence::oldResponses) < ENOUGH_OLD_RESPONSES;
    }
    if (responses < THIN_RESPONSES) {
      return sum(RouteEvidence::newFailures) == 0
          && sum(RouteEvidence::newSlow) <= 1 + TOLERATED_SLOW_RATE * responses;
    }
    return evidence() < ChangeDetector.ALARM / 2;
  }

  /**
   * Returns the number of responses of the new version.
   *
   * @return the number
   */
  long newResponses() {
    return sum(RouteEvidence::newResponses);
  }

  /**
   * Returns the number of bad responses of the new version.
   *
   * @return failures and slow responses
   */
  long badResponses() {
    return sum(RouteEvidence::newFailures) + sum(RouteEvidence::newSlow);
  }
}
