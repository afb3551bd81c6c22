package org.ragwortpick.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the request path. */
public final class RequestMetrics {

  private static final double MS_PER_SECOND = 1_000.0;
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 30
  };

  private final Counter requests;
  private final Counter deadlines;
  private final Counter attempts;
  private final Counter tokens;
  private final Gauge inFlight;
  private final Histogram requestSeconds;
  private final Histogram stageSeconds;

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   */
  public RequestMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("ragwortpick_requests_total")
            .help("Requests by target, workspace and outcome.")
            .labelNames("target", "workspace", "outcome")
            .register(registry);
    deadlines =
        Counter.builder()
            .name("ragwortpick_deadlines_total")
            .help("Requests by target, workspace and whether the deadline was met.")
            .labelNames("target", "workspace", "met")
            .register(registry);
    attempts =
        Counter.builder()
            .name("ragwortpick_stage_attempts_total")
            .help("Attempts by target, stage and kind: attempt or hedge.")
            .labelNames("target", "stage", "kind")
            .register(registry);
    tokens =
        Counter.builder()
            .name("ragwortpick_stage_tokens_total")
            .help("Tokens delivered by target and stage.")
            .labelNames("target", "stage")
            .register(registry);
    inFlight =
        Gauge.builder()
            .name("ragwortpick_requests_in_flight")
            .help("Requests in flight.")
            .register(registry);
    requestSeconds =
        Histogram.builder()
            .name("ragwortpick_request_seconds")
            .help("Duration of requests by target.")
            .labelNames("target")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);
    stageSeconds =
        Histogram.builder()
            .name("ragwortpick_stage_seconds")
            .help("Duration of stages by target and stage.")
            .labelNames("target", "stage")
            .classicOnly()
            .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
            .register(registry);
  }

  /** Counts a request that starts. */
  public void requestStarted() {
    inFlight.inc();
  }

  /**
   * Counts a request that ended.
   *
   * @param target pipeline or service
   * @param workspace workspace of the caller
   * @param outcome {@code ok} or the kind of the error
   * @param elapsedMs duration in milliseconds
   * @param deadlineMet whether the response was complete before the deadline
   */
  public void requestEnded(
      String target, String workspace, String outcome, long elapsedMs, boolean deadlineMet) {
    inFlight.dec();
    requests.labelValues(target, workspace, outcome).inc();
    deadlines.labelValues(target, workspace, String.valueOf(deadlineMet)).inc();
    requestSeconds.labelValues(target).observe(elapsedMs / MS_PER_SECOND);
  }

  /**
   * Counts the cost of a stage that ended.
   *
   * @param target pipeline or service
   * @param cost cost of the stage
   */
  public void stageEnded(String target, StageCost cost) {
    attempts.labelValues(target, cost.stage(), "attempt").inc(cost.attempts());
    attempts.labelValues(target, cost.stage(), "hedge").inc(cost.hedges());
    tokens.labelValues(target, cost.stage()).inc(cost.tokens());
    stageSeconds.labelValues(target, cost.stage()).observe(cost.ms() / MS_PER_SECOND);
  }
}
