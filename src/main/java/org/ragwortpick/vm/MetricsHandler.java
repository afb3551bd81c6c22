package org.ragwortpick.vm;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Serves the metrics of the process under one path of a listener that is not for callers. */
final class MetricsHandler {

  private static final String PATH = "/metrics";

  private MetricsHandler() {}

  /**
   * Puts the metrics before another handler.
   *
   * @param registry metrics
   * @param next handler of all other paths
   * @return the handler
   */
  static HttpHandler before(PrometheusRegistry registry, HttpHandler next) {
    return exchange -> {
      if (!exchange.getRequestPath().equals(PATH)) {
        next.handleRequest(exchange);
        return;
      }
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
      writer.write(text, registry.scrape());
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, writer.getContentType());
      exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
    };
  }
}
