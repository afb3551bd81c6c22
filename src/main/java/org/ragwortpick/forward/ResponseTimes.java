package org.ragwortpick.forward;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpick.routing.Route;

/**
 * Moving average by route of the time from an attempt to the head of its response. Confined to one
 * thread.
 */
public final class ResponseTimes {

  /** Weight of a new measurement. */
  private static final double MEASUREMENT_WEIGHT = 0.1;

  private final Map<String, Double> meansMs = new HashMap<>();

  /** Creates times without measurements. */
  public ResponseTimes() {}

  /**
   * Records a response.
   *
   * @param route name of the route
   * @param elapsedMs time from the attempt to the head of the response in milliseconds
   */
  void observe(String route, long elapsedMs) {
    meansMs.merge(
        route, (double) elapsedMs, (mean, value) -> mean + MEASUREMENT_WEIGHT * (value - mean));
  }

  /**
   * Returns the average time of a route.
   *
   * @param route name of the route
   * @return time in milliseconds; 0 without measurements
   */
  long averageMs(String route) {
    return meansMs.getOrDefault(route, 0.0).longValue();
  }

  /**
   * Returns the time in which a request usually gets the head of its response.
   *
   * @param route route of the request
   * @return time in milliseconds; the target latency without measurements
   */
  long usualMs(Route route) {
    return meansMs.getOrDefault(route.name(), (double) route.targetLatencyMs()).longValue();
  }
}
