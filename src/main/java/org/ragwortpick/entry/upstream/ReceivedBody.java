package org.ragwortpick.entry.upstream;

/**
 * Body of a complete response.
 *
 * @param framing how its end was recognised
 * @param sizeBytes number of bytes
 */
public record ReceivedBody(BodyFraming framing, long sizeBytes) {}
