package org.ragwortpick.forward;

import java.util.OptionalLong;
import java.util.function.ToLongFunction;

/**
 * Decides whether the stages of a request are begun, by the queues of all its stages. Answers
 * bursts on stage services: the first queue alone may be short while a later one makes the request
 * miss its target latency, after work has been done for it.
 */
final class StageAdmission {

  private StageAdmission() {}

  /**
   * Decides about a request. One that cannot meet its target latency even without queues is
   * admitted, since its caller may still use the response.
   *
   * @param graph stages of the request
   * @param targetRemainingMs time until the target latency in milliseconds, without that of the
   *     response itself
   * @param waitMsOf returns the expected wait in the queue of a service in milliseconds
   * @return the sum of the waits in milliseconds if the queues make the request miss its target
   *     latency; empty if it is admitted
   */
  static OptionalLong refusedForWaitMs(
      StageGraph graph, long targetRemainingMs, ToLongFunction<String> waitMsOf) {
    long minMs = graph.minTotalMs();
    long expectedMs = graph.totalMs(waitMsOf);
    return minMs <= targetRemainingMs && expectedMs > targetRemainingMs
        ? OptionalLong.of(expectedMs - minMs)
        : OptionalLong.empty();
  }
}
