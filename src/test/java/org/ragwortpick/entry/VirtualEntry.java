package org.ragwortpick.entry;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Span;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.tracing.RequestTracer;

/** Dependencies of the request path on virtual time, without sockets. */
public final class VirtualEntry {

  private static final EntrySettings SETTINGS =
      new EntrySettings(1 << 20, 1 << 20, 60_000, 3_000, 1_000, 300, 300, 5_000, 5, 4, 100, 500);

  private final VirtualTime time = new VirtualTime();
  private final EntryFakes fakes = new EntryFakes();
  private final WorkCounter work = new WorkCounter();
  private final RequestIds ids = new RequestIds("vm", 1);

  public VirtualTime time() {
    return time;
  }

  public EntryFakes fakes() {
    return fakes;
  }

  public EntryDependencies dependencies(UpstreamClient client) {
    return new EntryDependencies(
        fakes.policies(),
        fakes,
        fakes,
        () -> true,
        client,
        time,
        time.clock(),
        SETTINGS,
        new RequestTracer(OpenTelemetry.noop().getTracer("test")),
        new RequestMetrics(new PrometheusRegistry()),
        work);
  }

  public RequestContext request(long deadlineMs) {
    return new RequestContext(
        ids.next(),
        "w1",
        time.clock().millis() + deadlineMs,
        Span.getInvalid(),
        new SerialExecutor());
  }
}
