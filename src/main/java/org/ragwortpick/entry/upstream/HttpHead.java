package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;

/**
 * Head of a response.
 *
 * @param status status code
 * @param headers headers
 * @param framing how the end of the body is recognised
 */
public record HttpHead(int status, HeaderMap headers, BodyFraming framing) {}
