package org.ragwortpick.tracing;

import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.concurrent.TimeUnit;

/** Tracing of one process. Spans are exported in batches on a thread of the SDK. */
public final class TracingSetup implements AutoCloseable {

  private static final String INSTRUMENTATION = "org.ragwortpick";
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  private final SdkTracerProvider provider;
  private final RequestTracer tracer;

  /**
   * Starts tracing.
   *
   * @param exporter receiver of the finished spans
   */
  public TracingSetup(SpanExporter exporter) {
    this.provider =
        SdkTracerProvider.builder()
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
            .build();
    this.tracer = new RequestTracer(provider.get(INSTRUMENTATION));
  }

  /**
   * Returns the tracer of the request path.
   *
   * @return the tracer
   */
  public RequestTracer tracer() {
    return tracer;
  }

  /** Exports the spans that ended so far. */
  public void flush() {
    provider.forceFlush().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }
}
