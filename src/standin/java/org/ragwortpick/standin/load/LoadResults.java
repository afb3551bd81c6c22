package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What callers saw during a run. */
public final class LoadResults {

  private static final long HIGHEST_MS = 60_000;
  private static final int DIGITS = 3;

  private final Histogram latencyMs = new ConcurrentHistogram(HIGHEST_MS, DIGITS);
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final Map<Long, LongAdder> sentBySecond = new ConcurrentHashMap<>();
  private final Map<Long, LongAdder> inTimeBySecond = new ConcurrentHashMap<>();
  private final Map<String, StageTotals> stages = new ConcurrentHashMap<>();
  private final Map<String, String> calls = new ConcurrentHashMap<>();

  /**
   * Adds one to a count.
   *
   * @param name name of the count
   */
  void count(String name) {
    counts.computeIfAbsent(name, key -> new LongAdder()).increment();
  }

  /**
   * Records the latency of an answer from the time at which the request was due, so that a system
   * that stalls is charged for the requests that wait.
   *
   * @param elapsedMs latency in milliseconds
   */
  void recordLatency(long elapsedMs) {
    latencyMs.recordValue(Math.min(HIGHEST_MS, elapsedMs));
  }

  /**
   * Adds the cost that an answer states.
   *
   * @param body the answer
   */
  void recordCost(JsonNode body) {
    for (JsonNode stage : body.path("stages")) {
      StageTotals cost =
          new StageTotals(
              1,
              stage.path("attempts").asLong(),
              stage.path("hedges").asLong(),
              stage.path("tokens").asLong(),
              stage.path("ms").asLong());
      stages.merge(stage.path("stage").asText(), cost, StageTotals::plus);
    }
  }

  /**
   * Records what the caller of a non-idempotent call was told.
   *
   * @param key marker of the call
   * @param told {@code done}, {@code not_run} or {@code unknown}
   */
  void recordCall(String key, String told) {
    calls.put(key, told);
  }

  /**
   * Records the end of a request by the second in which it was due.
   *
   * @param second second since the start of the run
   * @param inTime whether it was answered in full by its deadline
   */
  void recordSecond(long second, boolean inTime) {
    sentBySecond.computeIfAbsent(second, key -> new LongAdder()).increment();
    if (inTime) {
      inTimeBySecond.computeIfAbsent(second, key -> new LongAdder()).increment();
    }
  }

  /**
   * Returns the share of requests answered in full by their deadline in a part of the run.
   *
   * @param fromSecond first second of the part
   * @param toSecond second after the last one of the part
   * @return share in percent; 100 if no request was due
   */
  public double attainmentPercent(long fromSecond, long toSecond) {
    long sent = sum(sentBySecond, fromSecond, toSecond);
    return sent == 0 ? 100 : 100.0 * sum(inTimeBySecond, fromSecond, toSecond) / sent;
  }

  private static long sum(Map<Long, LongAdder> counts, long from, long to) {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey() >= from && entry.getKey() < to)
        .mapToLong(entry -> entry.getValue().sum())
        .sum();
  }

  /**
   * Returns a count.
   *
   * @param name name of the count
   * @return the count
   */
  public long countOf(String name) {
    LongAdder count = counts.get(name);
    return count == null ? 0 : count.sum();
  }

  /**
   * Returns all counts.
   *
   * @return counts by name
   */
  public Map<String, Long> counts() {
    Map<String, Long> result = new TreeMap<>();
    counts.forEach((name, count) -> result.put(name, count.sum()));
    return result;
  }

  /**
   * Returns the cost by stage.
   *
   * @return totals by name of the stage
   */
  public Map<String, StageTotals> stages() {
    return new TreeMap<>(stages);
  }

  /**
   * Returns what the callers of non-idempotent calls were told.
   *
   * @return answers by marker
   */
  public Map<String, String> calls() {
    return new TreeMap<>(calls);
  }

  /**
   * Returns the latency at a percentile.
   *
   * @param percentile percentile, 0 to 100
   * @return latency in milliseconds
   */
  public long latencyMs(double percentile) {
    return latencyMs.getValueAtPercentile(percentile);
  }
}
