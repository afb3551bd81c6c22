package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.function.BooleanSupplier;
import org.ragwortpick.common.HostPort;

/**
 * Request to an upstream.
 *
 * @param address address of the upstream
 * @param method method
 * @param path path with its query
 * @param headers headers; the length of the body is added
 * @param body body; empty for none
 * @param freshConnection whether no pooled connection may be used
 * @param progressTimeoutMs time in milliseconds without a byte after which the call is given up
 * @param permit asked right before the request is written; false withholds it
 */
public record HttpRequest(
    HostPort address,
    HttpString method,
    String path,
    HeaderMap headers,
    byte[] body,
    boolean freshConnection,
    long progressTimeoutMs,
    BooleanSupplier permit) {}
