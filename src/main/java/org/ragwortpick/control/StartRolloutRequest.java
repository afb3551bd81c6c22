package org.ragwortpick.control;

/**
 * Order to move the traffic of a service to another version. It is recognised by its content, so
 * that it can be resent without a request id.
 *
 * @param service name of the service
 * @param to the version
 * @param durationMs time in milliseconds within which the move is to be completed
 * @param baseRevision revision that was known when the operator certainly waited for the order; 0
 *     if none is
 */
public record StartRolloutRequest(String service, String to, long durationMs, long baseRevision) {}
