package org.ragwortpick.rollout;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of the requests to services in a rollout. */
public final class RolloutMetrics {

  private final Counter requests;

  /**
   * Registers the metrics.
   *
   * @param registry registry of the process
   */
  public RolloutMetrics(PrometheusRegistry registry) {
    this.requests =
        Counter.builder()
            .name("ragwortpick_rollout_requests_total")
            .help("Requests to services in a rollout by service, version and end")
            .labelNames("service", "version", "end")
            .register(registry);
  }

  /**
   * Counts a request that ended.
   *
   * @param service name of the service
   * @param isNew whether its upstream has the new version
   * @param end how it ended
   */
  void ended(String service, boolean isNew, SentRequest.End end) {
    requests.labelValues(service, isNew ? "new" : "old", end.name()).inc();
  }
}
