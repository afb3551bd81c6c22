package org.ragwortpick.tracing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.common.Json;

/** Exporter that formats each span as one JSON object. */
public final class JsonSpanExporter implements SpanExporter {

  private static final long NANOS_PER_MICRO = 1_000L;

  private final BooleanSupplier enabled;
  private final Consumer<String> sink;

  /**
   * Creates an exporter.
   *
   * @param enabled returns whether spans are exported; evaluated before spans are formatted
   * @param sink receives the formatted spans
   */
  public JsonSpanExporter(BooleanSupplier enabled, Consumer<String> sink) {
    this.enabled = enabled;
    this.sink = sink;
  }

  /**
   * Creates an exporter that logs spans at level DEBUG.
   *
   * @param logger logger of the spans
   * @return the exporter
   */
  public static JsonSpanExporter toLog(Logger logger) {
    return new JsonSpanExporter(logger::isDebugEnabled, logger::debug);
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    if (enabled.getAsBoolean()) {
      spans.forEach(span -> sink.accept(format(span)));
    }
    return CompletableResultCode.ofSuccess();
  }

  private static String format(SpanData span) {
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("span", span.getName());
    json.put("traceId", span.getTraceId());
    json.put("spanId", span.getSpanId());
    json.put("parentSpanId", span.getParentSpanId());
    json.put("kind", span.getKind().name());
    json.put("status", span.getStatus().getStatusCode().name());
    json.put("startMicros", span.getStartEpochNanos() / NANOS_PER_MICRO);
    json.put(
        "durationMicros", (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO);
    ObjectNode attributes = json.putObject("attributes");
    span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value.toString()));
    return json.toString();
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
