package org.ragwortpick.forward;

import java.util.HashMap;
import java.util.Map;

/** Time from a send to the head of its answer, by route. Confined to one thread. */
public final class AnswerTimes {

  /** Weight of a new measurement. */
  private static final double GAIN = 0.1;

  private final Map<String, Double> meansMs = new HashMap<>();

  /** Creates times that know nothing. */
  public AnswerTimes() {}

  /**
   * Notes an answer.
   *
   * @param route name of the route
   * @param elapsedMs time in milliseconds
   */
  void observe(String route, long elapsedMs) {
    meansMs.merge(route, (double) elapsedMs, (mean, value) -> mean + GAIN * (value - mean));
  }

  /**
   * Returns the expected time.
   *
   * @param route name of the route
   * @return time in milliseconds; 0 if nothing is known
   */
  long expectedMs(String route) {
    return meansMs.getOrDefault(route, 0.0).longValue();
  }
}
