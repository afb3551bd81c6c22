package org.ragwortpick.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import org.ragwortpick.entry.upstream.ReceivedBody;

/** Counters and histograms of forwarded requests. */
public final class ForwardMetrics {

  private static final double MS_PER_SECOND = 1_000.0;

  private final Counter requests;
  private final Counter refusals;
  private final Counter takeUps;
  private final Counter attempts;
  private final Counter repeats;
  private final Counter bodies;
  private final Histogram firstByte;

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   */
  public ForwardMetrics(PrometheusRegistry registry) {
    this.requests =
        Counter.builder()
            .name("ragwortpick_forward_requests_total")
            .help("Forwarded requests by route and end")
            .labelNames("route", "end")
            .register(registry);
    this.refusals =
        Counter.builder()
            .name("ragwortpick_forward_refusals_total")
            .help("Requests refused before their run began, by reason and status")
            .labelNames("reason", "status")
            .register(registry);
    this.takeUps =
        Counter.builder()
            .name("ragwortpick_forward_take_ups_total")
            .help("Requests that take up a broken stream by route and end")
            .labelNames("route", "end")
            .register(registry);
    this.attempts =
        Counter.builder()
            .name("ragwortpick_forward_sends_total")
            .help("Requests sent to upstreams by service and outcome")
            .labelNames("service", "outcome")
            .register(registry);
    this.repeats =
        Counter.builder()
            .name("ragwortpick_forward_repeats_total")
            .help("Decisions on the repeat of a request by service and reason")
            .labelNames("service", "decision")
            .register(registry);
    this.bodies =
        Counter.builder()
            .name("ragwortpick_forward_bodies_total")
            .help("Bodies passed to callers by route, and framing or the sign of a break")
            .labelNames("route", "end")
            .register(registry);
    this.firstByte =
        Histogram.builder()
            .name("ragwortpick_forward_first_byte_seconds")
            .help("Time from the headers of a request to the head of its answer")
            .labelNames("route")
            .register(registry);
  }

  /**
   * Counts a request that ended.
   *
   * @param route name of the route
   * @param end label of how it ended
   */
  void requestEnded(String route, String end) {
    requests.labelValues(route, end).inc();
  }

  /**
   * Counts a request that was refused before its run began.
   *
   * @param refusal the refusal
   */
  void requestRefused(Refusal refusal) {
    refusals.labelValues(refusal.error(), Integer.toString(refusal.status())).inc();
  }

  /**
   * Counts a request that ended and takes up a broken stream.
   *
   * @param route name of the route
   * @param end label of how it ended
   */
  void takeUpEnded(String route, String end) {
    takeUps.labelValues(route, end).inc();
  }

  /**
   * Counts an attempt that ended.
   *
   * @param service name of the service
   * @param outcome label of its outcome
   */
  void attemptEnded(String service, String outcome) {
    attempts.labelValues(service, outcome).inc();
  }

  /**
   * Counts a decision on the repeat of a request.
   *
   * @param service name of the service
   * @param decision the decision
   */
  void repeatDecided(String service, RepeatDecision decision) {
    repeats.labelValues(service, decision.label()).inc();
  }

  /**
   * Counts a body that was received completely.
   *
   * @param route name of the route
   * @param body the body
   */
  void bodyReceived(String route, ReceivedBody body) {
    bodies.labelValues(route, "whole_" + body.framing().name().toLowerCase(Locale.ROOT)).inc();
  }

  /**
   * Counts a body that broke off after the head was passed to the caller.
   *
   * @param route name of the route
   * @param sign what showed that it is incomplete
   */
  void bodyBroken(String route, String sign) {
    bodies.labelValues(route, "broken_" + sign.toLowerCase(Locale.ROOT)).inc();
  }

  /**
   * Observes the time from the headers of a request to the head of its response.
   *
   * @param route name of the route
   * @param elapsedMs time in milliseconds
   */
  void responseStarted(String route, long elapsedMs) {
    firstByte.labelValues(route).observe(elapsedMs / MS_PER_SECOND);
  }
}
