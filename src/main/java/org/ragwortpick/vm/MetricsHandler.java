package org.ragwortpick.vm;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Serves the metrics of the process under one path of a listener that callers do not use. */
final class MetricsHandler {

  private static final String PATH = "/metrics";

  private MetricsHandler() {}

  /**
   * Creates a handler that serves the metrics and delegates all other paths.
   *
   * @param registry registry of the metrics
   * @param next handler of the other paths
   * @return the handler
   */
  static HttpHandler wrap(PrometheusRegistry registry, HttpHandler next) {
    return exchange -> {
      if (!exchange.getRequestPath().equals(PATH)) {
        next.handleRequest(exchange);
        return;
      }
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
      writer.write(body, registry.scrape());
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
      exchange.getResponseSender().send(ByteBuffer.wrap(body.toByteArray()));
    };
  }
}
