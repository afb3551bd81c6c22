package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;

/**
 * Speeds of upstreams relative to the others of their service. Confined to one thread.
 *
 * <p>Addresses upstreams that are lastingly slower or faster, and upstreams that are slow for a
 * moment. The lasting part is learned from response times, each compared with the usual time of its
 * route, and starts from the usual work time that the upstream reports. The momentary part is the
 * last reported work time beside the usual one of that upstream.
 */
public final class UpstreamSpeeds {

  /** Time after which a reported work time has lost two thirds of its weight. */
  private static final double WORK_TIME_DECAY_MS = 300;

  /** Weight of one work time in the usual one of an upstream. */
  private static final double WORK_TIME_WEIGHT = 0.05;

  /** Number of response times whose weight the initial speed has. */
  private static final double INITIAL_WEIGHT = 8;

  /** Number of response times in which a lasting change of the speed is learned. */
  private static final double LEARNING_RESPONSES = 60;

  /** Weight of one response time in the usual time of a route. */
  private static final double ROUTE_WEIGHT = 0.02;

  /**
   * Natural logarithm of the largest factor by which one response time counts as longer or shorter
   * than usual.
   */
  private static final double MAX_LOG_RATIO = 1.5;

  private static final double MIN_SPEED = 0.2;
  private static final double MAX_SPEED = 5;
  private static final double USUAL_PERCENT = 100;

  /** Time without responses after which a speed is forgotten. */
  private static final long RETENTION_MS = 600_000;

  private final Clock clock;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Average> logTimeByRoute = new HashMap<>();

  /**
   * Creates speeds without measurements.
   *
   * @param clock monotonic clock
   */
  public UpstreamSpeeds(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a work time that an upstream reported.
   *
   * @param upstreamId id of the upstream
   * @param percent how long work takes there in percent of the usual time, above 0
   */
  public void recordWorkTime(String upstreamId, double percent) {
    Entry entry = entries.computeIfAbsent(upstreamId, id -> new Entry());
    entry.logWorkTime = Math.log(percent / USUAL_PERCENT);
    entry.usualLogWorkTime.add(entry.logWorkTime, WORK_TIME_WEIGHT);
    entry.workTimeAtMs = clock.millis();
  }

  /**
   * Records the time of a complete and successful response.
   *
   * @param upstreamId id of the upstream
   * @param route name of the route of the request
   * @param durationMs time from the attempt to the end of the response in milliseconds
   */
  public void recordResponse(String upstreamId, String route, long durationMs) {
    double logTime = Math.log(Math.max(1, durationMs));
    Average usual = logTimeByRoute.computeIfAbsent(route, name -> new Average());
    usual.add(logTime, ROUTE_WEIGHT);
    double ratio = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, usual.mean - logTime));
    Entry entry = entries.computeIfAbsent(upstreamId, id -> new Entry());
    entry.logSpeed.add(ratio, 1 / LEARNING_RESPONSES);
    entry.respondedAtMs = clock.millis();
  }

  /**
   * Returns the speed of an upstream at this moment.
   *
   * @param upstreamId id of the upstream
   * @return speed, 1 is usual
   */
  public double speed(String upstreamId) {
    Entry entry = entries.get(upstreamId);
    if (entry == null) {
      return 1;
    }
    double initial = -entry.usualLogWorkTime.mean;
    double learnedShare = entry.logSpeed.count / (entry.logSpeed.count + INITIAL_WEIGHT);
    double lasting = initial + learnedShare * (entry.logSpeed.mean - initial);
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, Math.exp(lasting) * momentarySpeed(entry)));
  }

  /**
   * Returns how fast an upstream is at this moment beside its own usual speed.
   *
   * @param upstreamId id of the upstream
   * @return speed, 1 is usual
   */
  public double momentarySpeed(String upstreamId) {
    Entry entry = entries.get(upstreamId);
    return entry == null ? 1 : momentarySpeed(entry);
  }

  private double momentarySpeed(Entry entry) {
    double ageMs = clock.millis() - entry.workTimeAtMs;
    double weight = Math.exp(-ageMs / WORK_TIME_DECAY_MS);
    double logSpeed = weight * (entry.usualLogWorkTime.mean - entry.logWorkTime);
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, Math.exp(logSpeed)));
  }

  /**
   * Returns the mean of the work times that upstreams reported last.
   *
   * @return work time in percent of the usual one; 0 without reports
   */
  public int meanWorkTimePercent() {
    return (int)
        entries.values().stream()
            .filter(entry -> entry.usualLogWorkTime.count > 0)
            .mapToDouble(entry -> USUAL_PERCENT * Math.exp(entry.logWorkTime))
            .average()
            .orElse(0);
  }

  /** Drops the speeds of upstreams that have not responded for a while. */
  public void expire() {
    long nowMs = clock.millis();
    entries
        .values()
        .removeIf(
            entry -> nowMs - Math.max(entry.respondedAtMs, entry.workTimeAtMs) > RETENTION_MS);
  }

  /** Average that weighs its first values equally. */
  private static final class Average {
    private double mean;
    private double count;

    void add(double value, double minWeight) {
      count++;
      mean += Math.max(minWeight, 1 / count) * (value - mean);
    }
  }

  private static final class Entry {
    private final Average usualLogWorkTime = new Average();
    private final Average logSpeed = new Average();
    private double logWorkTime;
    private long workTimeAtMs;
    private long respondedAtMs;
  }
}
