package org.ragwortpick.entry;

import java.time.Clock;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.tracing.RequestTracer;

/**
 * What all requests of a VM share.
 *
 * @param policies decisions
 * @param view configuration
 * @param directory upstreams
 * @param gate life cycle of the VM
 * @param client client for upstreams
 * @param timers timers
 * @param clock monotonic clock
 * @param settings limits and timeouts
 * @param tracer spans
 * @param metrics metrics
 * @param work counter that a graceful stop waits for
 */
public record EntryDependencies(
    RequestPolicies policies,
    ConfigurationView view,
    UpstreamDirectory directory,
    WorkGate gate,
    UpstreamClient client,
    Timers timers,
    Clock clock,
    EntrySettings settings,
    RequestTracer tracer,
    RequestMetrics metrics,
    WorkCounter work) {}
