package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RoutedWorkspace;

/**
 * Request of a caller that matches a route.
 *
 * @param id id of the caller's attempt
 * @param method HTTP method
 * @param target path and query as the caller sent them
 * @param headers headers of the caller
 * @param body body
 * @param route the route
 * @param workspace workspace of the caller; empty if the route is open
 * @param routingNumber number of the routing configuration that was applied
 * @param arrivedAtMs monotonic time in milliseconds at which the headers were read
 * @param deadlineAtMs monotonic time in milliseconds after which the caller no longer waits
 */
record CallerRequest(
    String id,
    HttpString method,
    String target,
    HeaderMap headers,
    byte[] body,
    Route route,
    Optional<RoutedWorkspace> workspace,
    long routingNumber,
    long arrivedAtMs,
    long deadlineAtMs) {

  /** Number of route priorities that are distinguished within one workspace priority. */
  private static final int ROUTE_PRIORITIES = 10;

  /**
   * Returns the priority of the request. Requests are ordered by the priority of their workspace,
   * then by that of their route. A workspace without a priority is treated as having that of the
   * route.
   *
   * @return the priority, 0 is the most urgent
   */
  int priority() {
    int routePriority = Math.min(route.priority(), ROUTE_PRIORITIES - 1);
    int workspacePriority =
        workspace.flatMap(owner -> Optional.ofNullable(owner.priority())).orElse(routePriority);
    return workspacePriority * ROUTE_PRIORITIES + routePriority;
  }

  /**
   * Returns the time at which the target latency of the request is reached.
   *
   * @return monotonic time in milliseconds
   */
  long targetAtMs() {
    return arrivedAtMs + route.targetLatencyMs();
  }
}
