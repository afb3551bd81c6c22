package org.ragwortpick.entry.upstream;

import java.util.function.BooleanSupplier;
import org.ragwortpick.common.HostPort;

/**
 * Request to an upstream.
 *
 * @param address address of the upstream
 * @param path path of the request
 * @param id identity of the attempt
 * @param deadlineMs time until the deadline in milliseconds
 * @param traceparent W3C trace context; empty if the request is not traced
 * @param body JSON body
 * @param stream whether the answer is a stream of events
 * @param freshConnection whether the request must not use a pooled connection
 * @param progressTimeoutMs time in milliseconds without a byte after which the call is given up
 * @param permit asked immediately before the first byte is written; false prevents the request
 */
public record UpstreamRequest(
    HostPort address,
    String path,
    AttemptId id,
    long deadlineMs,
    String traceparent,
    byte[] body,
    boolean stream,
    boolean freshConnection,
    long progressTimeoutMs,
    BooleanSupplier permit) {}
