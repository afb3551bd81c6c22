package org.ragwortpick.entry;

import io.opentelemetry.api.trace.Span;

/**
 * What is known about a request while it runs.
 *
 * @param requestId identity, unique over all VMs and restarts
 * @param workspace workspace of the caller
 * @param deadlineAtMs deadline on the monotonic clock in milliseconds
 * @param span span of the request
 * @param serial executor on which everything about the request runs
 */
public record RequestContext(
    String requestId, String workspace, long deadlineAtMs, Span span, SerialExecutor serial) {}
