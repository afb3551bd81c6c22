package org.ragwortpick.standin.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Outcomes, latencies and costs of a load run, as observed by its callers. */
public final class LoadResults {

  /** Highest latency that is recorded; longer ones count as this one. */
  private static final long MAX_LATENCY_MS = 60_000;

  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram latencyMs = new ConcurrentHistogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final Map<Long, LongAdder> sentBySecond = new ConcurrentHashMap<>();
  private final Map<Long, LongAdder> inTimeBySecond = new ConcurrentHashMap<>();
  private final Map<String, StageTotals> stages = new ConcurrentHashMap<>();
  private final Map<String, String> callOutcomes = new ConcurrentHashMap<>();

  /**
   * Increments a count.
   *
   * @param name name of the count
   */
  void increment(String name) {
    counts.computeIfAbsent(name, key -> new LongAdder()).increment();
  }

  /**
   * Records a latency, measured from the time at which the request was due. Measured from the
   * actual send time, the waiting time of requests during a stall would be left out.
   *
   * @param elapsedMs latency in milliseconds
   */
  void recordLatency(long elapsedMs) {
    latencyMs.recordValue(Math.min(MAX_LATENCY_MS, elapsedMs));
  }

  /**
   * Adds the cost of each stage that a response reports.
   *
   * @param body body of the response
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
   * Records the outcome of a non-idempotent call as its caller observed it.
   *
   * @param marker marker of the call
   * @param outcome {@code done}, {@code not_run} or {@code unknown}
   */
  void recordCall(String marker, String outcome) {
    callOutcomes.put(marker, outcome);
  }

  /**
   * Records whether a request met its deadline, by the second in which it was due.
   *
   * @param second second since the start of the run
   * @param inTime whether the complete response arrived by the deadline
   */
  void recordDeadlineMet(long second, boolean inTime) {
    sentBySecond.computeIfAbsent(second, key -> new LongAdder()).increment();
    if (inTime) {
      inTimeBySecond.computeIfAbsent(second, key -> new LongAdder()).increment();
    }
  }

  /**
   * Returns the share of requests that met their deadline in a part of the run.
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
   * Returns the value of a count.
   *
   * @param name name of the count
   * @return the value; 0 if it was never incremented
   */
  public long countOf(String name) {
    LongAdder count = counts.get(name);
    return count == null ? 0 : count.sum();
  }

  /**
   * Returns the values of all counts.
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
   * Returns the outcomes of the non-idempotent calls as their callers observed them.
   *
   * @return {@code done}, {@code not_run} or {@code unknown} by marker
   */
  public Map<String, String> callOutcomes() {
    return new TreeMap<>(callOutcomes);
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
