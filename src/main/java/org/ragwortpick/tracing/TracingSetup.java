package org.ragwortpick.tracing;

import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.concurrent.TimeUnit;

/** Tracing of one process. A thread of the OpenTelemetry SDK exports spans in batches. */
public final class TracingSetup implements AutoCloseable {

  private static final String INSTRUMENTATION_SCOPE = "org.ragwortpick";
  private static final long EXPORT_TIMEOUT_MS = 1_000;

  private final SdkTracerProvider provider;
  private final RequestTracer tracer;

  /**
   * Starts tracing.
   *
   * @param exporter exporter of the ended spans
   */
  public TracingSetup(SpanExporter exporter) {
    this.provider =
        SdkTracerProvider.builder()
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
            .build();
    this.tracer = new RequestTracer(provider.get(INSTRUMENTATION_SCOPE));
  }

  /**
   * Returns the tracer of the request path.
   *
   * @return the tracer
   */
  public RequestTracer tracer() {
    return tracer;
  }

  /** Exports the spans that have ended, waiting for at most one second. */
  public void flush() {
    provider.forceFlush().join(EXPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    provider.shutdown().join(EXPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
