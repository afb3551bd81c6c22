package org.ragwortpick.policy.admission;

import java.util.Map;

/**
 * Capacity and queue of a stage service as measured by its collector.
 *
 * @param service name of the service
 * @param measuredAtMs monotonic time of the measurement in milliseconds
 * @param piecesPerMs pieces that its upstreams produce per millisecond with full calls; 0 if it is
 *     not known
 * @param callMs measured duration of a call in milliseconds; 0 if it is not known
 * @param queuedPieces number of queued pieces by priority; 0 is the most urgent
 * @param servedPerMs recently served pieces per millisecond by priority
 */
public record StageBacklog(
    String service,
    long measuredAtMs,
    double piecesPerMs,
    long callMs,
    Map<Integer, Integer> queuedPieces,
    Map<Integer, Double> servedPerMs) {

  /** Copies the maps. */
  public StageBacklog {
    queuedPieces = Map.copyOf(queuedPieces);
    servedPerMs = Map.copyOf(servedPerMs);
  }

  /**
   * Returns the rate of served work that is more urgent than a priority.
   *
   * @param priority priority, 0 is the most urgent
   * @return pieces per millisecond
   */
  double moreUrgentPerMs(int priority) {
    return servedPerMs.entrySet().stream()
        .filter(served -> served.getKey() < priority)
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }
}
