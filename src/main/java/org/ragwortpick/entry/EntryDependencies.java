package org.ragwortpick.entry;

import java.time.Clock;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.tracing.RequestTracer;

/**
 * Components and settings that all requests of a VM share.
 *
 * @param policies policies for admission, deadlines, selection and retries
 * @param configurationView configuration that the VM has received
 * @param directory upstreams by service and id
 * @param workGate tells whether the VM accepts new work
 * @param client client for upstreams
 * @param timers timers of the request path
 * @param clock monotonic clock
 * @param settings limits and timeouts
 * @param tracer tracer that creates the spans of requests
 * @param metrics metrics of the request path
 * @param workCounter counter that a graceful stop waits for
 */
public record EntryDependencies(
    RequestPolicies policies,
    ConfigurationView configurationView,
    UpstreamDirectory directory,
    WorkGate workGate,
    UpstreamClient client,
    Timers timers,
    Clock clock,
    EntrySettings settings,
    RequestTracer tracer,
    RequestMetrics metrics,
    WorkCounter workCounter) {}
