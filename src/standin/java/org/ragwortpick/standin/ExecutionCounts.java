package org.ragwortpick.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Numbers of calls that an upstream has executed, by the marker of the request. */
final class ExecutionCounts {

  private final Map<String, AtomicLong> byMarker = new ConcurrentHashMap<>();
  private final Map<String, String> callersByCall = new ConcurrentSkipListMap<>();
  private final AtomicLong total = new AtomicLong();

  /**
   * Counts one executed call.
   *
   * @param marker marker of the request
   * @param caller workspace, request id, stage and attempt of the call
   */
  void recordExecution(String marker, String caller) {
    total.incrementAndGet();
    long count = byMarker.computeIfAbsent(marker, key -> new AtomicLong()).incrementAndGet();
    callersByCall.put(marker + "#" + count, caller);
  }

  /**
   * Returns the number of executed calls.
   *
   * @return number of calls
   */
  long total() {
    return total.get();
  }

  /**
   * Returns how often the call with each marker was executed.
   *
   * @return counts by marker
   */
  Map<String, Long> byMarker() {
    Map<String, Long> counts = new TreeMap<>();
    byMarker.forEach((marker, count) -> counts.put(marker, count.get()));
    return counts;
  }

  /**
   * Returns the caller of each execution.
   *
   * @return callers by marker and number of the execution
   */
  Map<String, String> callersByCall() {
    return Map.copyOf(callersByCall);
  }
}
