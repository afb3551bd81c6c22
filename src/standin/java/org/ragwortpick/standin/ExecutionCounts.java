package org.ragwortpick.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts of the calls that an upstream executed, by the marker of the request. */
final class ExecutionCounts {

  private final Map<String, AtomicLong> byMarker = new ConcurrentHashMap<>();
  private final Map<String, String> callers = new ConcurrentSkipListMap<>();
  private final AtomicLong total = new AtomicLong();

  /**
   * Counts one executed call.
   *
   * @param marker marker of the request
   * @param caller what identifies the caller: workspace, request id and attempt
   */
  void record(String marker, String caller) {
    total.incrementAndGet();
    long count = byMarker.computeIfAbsent(marker, key -> new AtomicLong()).incrementAndGet();
    callers.put(marker + "#" + count, caller);
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
   * Returns the counts by marker.
   *
   * @return counts
   */
  Map<String, Long> byMarker() {
    Map<String, Long> counts = new TreeMap<>();
    byMarker.forEach((marker, count) -> counts.put(marker, count.get()));
    return counts;
  }

  /**
   * Returns who asked for each call.
   *
   * @return callers by marker and number of the call
   */
  Map<String, String> callers() {
    return Map.copyOf(callers);
  }
}
