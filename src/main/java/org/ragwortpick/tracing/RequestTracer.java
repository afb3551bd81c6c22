package org.ragwortpick.tracing;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.Set;

/** Creates the spans of the request path, one per hop, linked by W3C trace contexts. */
public final class RequestTracer {

  private static final String TRACEPARENT = "traceparent";
  private static final HeaderGetter TRACEPARENT_GETTER = new HeaderGetter();

  private final Tracer tracer;

  /**
   * Creates a tracer.
   *
   * @param tracer OpenTelemetry tracer
   */
  public RequestTracer(Tracer tracer) {
    this.tracer = tracer;
  }

  /**
   * Starts the span of a request from a caller.
   *
   * @param name name of the span
   * @param traceparent trace context of the caller; null, empty or malformed values start a new
   *     trace
   * @return the span, which the caller ends when the request ends
   */
  public Span startRequest(String name, String traceparent) {
    Context parent = Context.root();
    if (traceparent != null && !traceparent.isEmpty()) {
      parent =
          W3CTraceContextPropagator.getInstance().extract(parent, traceparent, TRACEPARENT_GETTER);
    }
    return tracer.spanBuilder(name).setSpanKind(SpanKind.SERVER).setParent(parent).startSpan();
  }

  /**
   * Starts the span of a call within a request.
   *
   * @param request span of the request
   * @param name name of the span
   * @return the span, which the caller ends when the call ends
   */
  public Span startHop(Span request, String name) {
    return tracer
        .spanBuilder(name)
        .setSpanKind(SpanKind.CLIENT)
        .setParent(Context.root().with(request))
        .startSpan();
  }

  /**
   * Formats the trace context to propagate with a call.
   *
   * @param span span of the call
   * @return value of the traceparent header; empty if the span is not valid
   */
  public static String traceparent(Span span) {
    SpanContext context = span.getSpanContext();
    return context.isValid()
        ? "00-"
            + context.getTraceId()
            + "-"
            + context.getSpanId()
            + "-"
            + context.getTraceFlags().asHex()
        : "";
  }

  private static final class HeaderGetter implements TextMapGetter<String> {

    @Override
    public Iterable<String> keys(String carrier) {
      return Set.of(TRACEPARENT);
    }

    @Override
    public String get(String carrier, String key) {
      return TRACEPARENT.equals(key) ? carrier : null;
    }
  }
}
