package org.ragwortpick.admin;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.ragwortpick.consensus.ConsensusMetrics;

/** Serves the metrics of the process in the Prometheus text format. */
final class MetricsEndpoint implements HttpHandler {

  private final PrometheusRegistry registry;
  private final PrometheusTextFormatWriter writer =
      PrometheusTextFormatWriter.builder().setIncludeCreatedTimestamps(false).build();

  /**
   * Creates the endpoint and registers the metrics of the configuration and of consensus.
   *
   * @param registry metrics of the process
   * @param status state of the VM
   */
  MetricsEndpoint(PrometheusRegistry registry, VmStatus status) {
    this.registry = registry;
    GaugeWithCallback.builder()
        .name("ragwortpick_configuration_revision")
        .help("Revision of the configuration that the VM knows")
        .callback(callback -> callback.call(status.configuration().revision()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("ragwortpick_configuration_age_ms")
        .help("Time since the configuration was last confirmed in milliseconds")
        .callback(callback -> callback.call(status.confirmedAgeMs()))
        .register(registry);
    ConsensusMetrics.register(registry, status::groups);
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writer.write(bytes, registry.scrape());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
    exchange.getResponseSender().send(ByteBuffer.wrap(bytes.toByteArray()));
  }
}
