package org.ragwortpick.rollout;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.ragwortpick.sync.Upstream;

/**
 * Requests of the local VM to one service during one rollout. Confined to the lock of {@link
 * VersionTraffic}.
 *
 * <p>Each request adds the share to a credit and each one to the new version takes 1 from it, so
 * that the share holds for any number of requests, and a burst finds little credit saved up.
 */
final class ServiceTraffic {

  /** Credit that is saved up while the new version takes no requests. */
  private static final double MAX_CREDIT = 2;

  /**
   * Time after which the directory no longer lists an upstream that ended: it is lost after 3 s
   * without an announcement, and other VMs learn it within a second.
   */
  private static final long ALIVE_CHECK_MS = 4_000;

  private final long order;
  private final Map<String, RouteCounts> routes = new TreeMap<>();
  private final List<Broken> broken = new ArrayList<>();
  private double credit;
  private long sentOld;
  private long sentNew;
  private int oldInFlight;

  /**
   * Creates the traffic of a rollout that was just learnt.
   *
   * @param order revision of the order
   * @param firstCredit first credit from 0 to 1, random so that not all VMs send their first
   *     request to the new version at the same time
   */
  ServiceTraffic(long order, double firstCredit) {
    this.order = order;
    this.credit = firstCredit;
  }

  /**
   * Returns the order.
   *
   * @return its revision
   */
  long order() {
    return order;
  }

  /**
   * Returns whether the new version may get the next request.
   *
   * @return whether its share is not used up
   */
  boolean hasCredit() {
    return credit >= 1;
  }

  /**
   * Counts a request that is being sent.
   *
   * @param isNew whether its upstream has the new version
   * @param share share of the new version
   */
  void sent(boolean isNew, double share) {
    credit = Math.min(MAX_CREDIT, credit + share);
    if (isNew) {
      credit--;
      sentNew++;
    } else {
      sentOld++;
      oldInFlight++;
    }
  }

  /**
   * Counts the end of a request.
   *
   * @param isNew whether its upstream has the new version
   */
  void ended(boolean isNew) {
    oldInFlight -= isNew ? 0 : 1;
  }

  /**
   * Returns the counts to add a response to.
   *
   * @param route name of the route
   * @param isNew whether its upstream has the new version
   * @return the counts
   */
  VersionCounts counts(String route, boolean isNew) {
    RouteCounts counts =
        routes.computeIfAbsent(
            route, name -> new RouteCounts(name, new VersionCounts(), new VersionCounts()));
    return isNew ? counts.newVersion() : counts.oldVersion();
  }

  /**
   * Remembers a request without a complete response until it is known whether its upstream lives.
   *
   * @param upstream the upstream
   * @param route name of the route
   * @param isNew whether the upstream has the new version
   * @param nowMs monotonic time in milliseconds
   */
  void addBroken(Upstream upstream, String route, boolean isNew, long nowMs) {
    broken.add(new Broken(upstream, route, isNew, nowMs));
  }

  /**
   * Counts the broken responses of an upstream that has responded to a later request.
   *
   * @param upstream the upstream
   * @param sentAtMs monotonic time in milliseconds at which the later request was sent
   */
  void onAlive(Upstream upstream, long sentAtMs) {
    countBroken(found -> found.isOf(upstream) && found.atMs() < sentAtMs);
  }

  /**
   * Counts the broken responses of upstreams that are still alive, and drops those of others.
   *
   * @param isAlive whether the directory lists an incarnation of an upstream
   * @param nowMs monotonic time in milliseconds
   */
  void expireBroken(Predicate<Upstream> isAlive, long nowMs) {
    countBroken(found -> nowMs - found.atMs() >= ALIVE_CHECK_MS && isAlive.test(found.upstream()));
    broken.removeIf(found -> nowMs - found.atMs() >= ALIVE_CHECK_MS);
  }

  private void countBroken(Predicate<Broken> condition) {
    for (Iterator<Broken> each = broken.iterator(); each.hasNext(); ) {
      Broken found = each.next();
      if (condition.test(found)) {
        counts(found.route(), found.isNew()).addFailure();
        each.remove();
      }
    }
  }

  /**
   * Describes the traffic.
   *
   * @param service name of the service
   * @param moved whether all requests go to the new version
   * @return report without a sender
   */
  VersionReport report(String service, boolean moved) {
    List<RouteCounts> copies =
        routes.values().stream()
            .map(
                counts ->
                    new RouteCounts(
                        counts.route(), counts.oldVersion().copy(), counts.newVersion().copy()))
            .toList();
    return new VersionReport(
        "", 0, 0, service, order, moved, oldInFlight, sentOld, sentNew, copies);
  }

  /**
   * Request without a complete response.
   *
   * @param upstream upstream of the request
   * @param route name of the route
   * @param isNew whether the upstream has the new version
   * @param atMs monotonic time in milliseconds at which it ended
   */
  private record Broken(Upstream upstream, String route, boolean isNew, long atMs) {

    boolean isOf(Upstream other) {
      return upstream.id().equals(other.id()) && upstream.incarnation() == other.incarnation();
    }
  }
}
