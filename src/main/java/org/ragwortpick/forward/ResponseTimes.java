package org.ragwortpick.forward;

import java.util.HashMap;
import java.util.Map;
import org.ragwortpick.routing.Route;

/**
 * Moving averages by route of the times from an attempt to the head and to the end of its response.
 * Confined to one thread.
 */
public final class ResponseTimes {

  /** Weight of a new measurement. */
  private static final double MEASUREMENT_WEIGHT = 0.1;

  /** Number of mean deviations above the mean below which most times are. */
  private static final int DEVIATIONS = 2;

  /** Number of responses from which a total time is known well enough. */
  private static final int MIN_RESPONSES = 5;

  private final Map<String, RouteTimes> routes = new HashMap<>();

  /** Creates times without measurements. */
  public ResponseTimes() {}

  /**
   * Records a response.
   *
   * @param route name of the route
   * @param headMs time from the attempt to the head of the response in milliseconds
   * @param totalMs time from the attempt to the end of the response in milliseconds
   */
  void observe(String route, long headMs, long totalMs) {
    routes.computeIfAbsent(route, name -> new RouteTimes(headMs, totalMs)).add(headMs, totalMs);
  }

  /**
   * Returns the average time of a route.
   *
   * @param route name of the route
   * @return time in milliseconds; 0 without measurements
   */
  long averageMs(String route) {
    RouteTimes times = routes.get(route);
    return times == null ? 0 : (long) times.meanHeadMs;
  }

  /**
   * Returns the time in which a request usually gets the head of its response.
   *
   * @param route route of the request
   * @return time in milliseconds; the target latency without measurements
   */
  long usualMs(Route route) {
    RouteTimes times = routes.get(route.name());
    return times == null ? route.targetLatencyMs() : (long) times.meanHeadMs;
  }

  /**
   * Returns a time in which most responses of a route end.
   *
   * @param route name of the route
   * @return time in milliseconds; 0 with few measurements
   */
  long longTotalMs(String route) {
    RouteTimes times = routes.get(route);
    return times == null || times.responses < MIN_RESPONSES
        ? 0
        : (long) (times.meanTotalMs + DEVIATIONS * times.deviationTotalMs);
  }

  /** Averages of one route. */
  private static final class RouteTimes {

    private double meanHeadMs;
    private double meanTotalMs;
    private double deviationTotalMs;
    private int responses;

    RouteTimes(long headMs, long totalMs) {
      meanHeadMs = headMs;
      meanTotalMs = totalMs;
    }

    void add(long headMs, long totalMs) {
      responses = Math.min(MIN_RESPONSES, responses + 1);
      double differenceMs = totalMs - meanTotalMs;
      meanHeadMs += MEASUREMENT_WEIGHT * (headMs - meanHeadMs);
      meanTotalMs += MEASUREMENT_WEIGHT * differenceMs;
      deviationTotalMs += MEASUREMENT_WEIGHT * (Math.abs(differenceMs) - deviationTotalMs);
    }
  }
}
