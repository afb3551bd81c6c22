package org.ragwortpick.entry;

import io.opentelemetry.api.trace.Span;

/**
 * Identity, deadline and execution context of a running request.
 *
 * @param requestId id, unique over all VMs and restarts
 * @param workspace workspace of the caller
 * @param deadlineAtMs deadline on the monotonic clock in milliseconds
 * @param span span of the request
 * @param serialExecutor executor that runs all tasks of the request one after the other
 */
public record RequestContext(
    String requestId,
    String workspace,
    long deadlineAtMs,
    Span span,
    SerialExecutor serialExecutor) {}
