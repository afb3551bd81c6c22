package org.ragwortpick.vm;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;
import org.ragwortpick.entry.http.EntryServer;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.forward.ResponseMemory;
import org.ragwortpick.policy.limit.UpstreamEstimates;

/** Registers the gauges of the entry role. */
final class EntryGauges {

  private final PrometheusRegistry registry;

  /**
   * Creates an instance.
   *
   * @param registry receives the gauges
   */
  EntryGauges(PrometheusRegistry registry) {
    this.registry = registry;
  }

  /**
   * Registers a gauge.
   *
   * @param name full name, by which operators find it
   * @param help what it counts
   * @param value supplies its value when the metrics are read
   */
  void register(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsLong()))
        .register(registry);
  }

  /**
   * Registers the gauges of connections and of the memory for slow callers.
   *
   * @param responseMemory memory that requests hold
   * @param upstreams connections to upstreams
   * @param server connections of callers
   */
  void registerCallers(
      ResponseMemory responseMemory, HttpCallClient upstreams, EntryServer server) {
    register(
        "ragwortpick_response_memory_bytes",
        "Memory that requests hold for their callers",
        responseMemory::heldBytes);
    register(
        "ragwortpick_responses_paused",
        "Responses whose upstream waits because the caller reads slowly",
        responseMemory::pausedCount);
    register(
        "ragwortpick_idle_upstream_connections",
        "Idle connections to upstreams",
        upstreams::idleCount);
    register(
        "ragwortpick_caller_connections", "Open connections of callers", server::openConnections);
  }

  /**
   * Registers the gauges of the load, speed and memory of upstreams.
   *
   * @param estimates estimates of the local VM
   */
  void registerEstimates(UpstreamEstimates estimates) {
    register(
        "ragwortpick_upstreams_without_memory",
        "Upstreams that the last choice excluded because their memory would be exceeded",
        estimates.tokens()::excludedCount);
    register(
        "ragwortpick_load_report_age_ms",
        "Mean age of the load reports of upstreams in milliseconds",
        estimates.loads()::meanReportAgeMs);
    register(
        "ragwortpick_work_time_percent",
        "Mean of the work times that upstreams reported last, 100 is usual; 0 without reports",
        estimates.speeds()::meanWorkTimePercent);
  }
}
