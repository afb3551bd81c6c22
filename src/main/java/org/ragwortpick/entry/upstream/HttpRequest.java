package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;

/**
 * HTTP request to an upstream.
 *
 * @param address address of the upstream
 * @param method HTTP method
 * @param path path with the query string
 * @param headers headers, asked for immediately before the request is written; Content-Length is
 *     set from the body
 * @param body body; empty for none
 * @param freshConnection whether no pooled connection may be used
 * @param limits limits of the response
 * @param permit evaluated immediately before the request is written; false prevents sending
 */
public record HttpRequest(
    HostPort address,
    HttpString method,
    String path,
    Supplier<HeaderMap> headers,
    byte[] body,
    boolean freshConnection,
    ResponseLimits limits,
    BooleanSupplier permit) {}
