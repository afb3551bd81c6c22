package org.ragwortpick.vm;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;
import org.ragwortpick.entry.http.EntryServer;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.forward.ResponseMemory;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.HeldContent;

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

  /**
   * Registers the gauges of content that is held back.
   *
   * @param quarantine holds the content back
   */
  void registerHeldContent(ContentQuarantine quarantine) {
    register(
        "ragwortpick_held_prompt_parts",
        "Prompt parts that are held back because upstreams ended under them",
        () -> quarantine.held().stream().filter(held -> !held.isRequest()).count());
    register(
        "ragwortpick_held_requests",
        "Requests that are held back, whatever their ids, because upstreams ended under them",
        () -> quarantine.held().stream().filter(HeldContent::isRequest).count());
  }

  /**
   * Registers the gauges of upstreams that may get no or fewer requests.
   *
   * @param leaving upstreams that stated that they are leaving
   * @param pauses pauses that upstreams requested
   * @param limits limits that upstreams named
   */
  void registerUpstreamStates(
      LeavingUpstreams leaving, RequestedPauses pauses, NamedLimits limits) {
    register(
        "ragwortpick_leaving_upstreams",
        "Upstreams excluded because they stated in a response that they are leaving",
        leaving::count);
    register(
        "ragwortpick_paused_upstreams",
        "Upstreams that get no requests because they requested a pause in a response",
        pauses::count);
    register(
        "ragwortpick_limited_upstreams",
        "Upstreams that named in a response how many requests a second they take",
        limits::count);
  }

  /**
   * Registers the gauges of overload control.
   *
   * @param paths admission by the whole path of a request
   */
  void registerOverloadControl(PathAdmission paths) {
    register(
        "ragwortpick_overload_control",
        "1 while requests are admitted and ordered by their whole path, 0 otherwise",
        () -> paths.isInForce() ? 1 : 0);
    register(
        "ragwortpick_announced_requests",
        "Requests that the collectors of this VM admitted and that have later stages ahead",
        paths::announcedRequests);
  }
}
