package org.ragwortpick.entry.upstream;

import java.util.function.BooleanSupplier;
import org.ragwortpick.common.HostPort;

/**
 * Request of the upstream API.
 *
 * @param address address of the upstream
 * @param path path of the request
 * @param id id of the attempt
 * @param deadlineMs time until the deadline in milliseconds
 * @param traceparent W3C trace context; empty if the request is not traced
 * @param body JSON body
 * @param stream whether the response is a stream of events
 * @param freshConnection whether the request must not use a pooled connection
 * @param progressTimeoutMs time in milliseconds without a received byte after which the call times
 *     out
 * @param permit evaluated immediately before the request is written; false prevents sending
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
