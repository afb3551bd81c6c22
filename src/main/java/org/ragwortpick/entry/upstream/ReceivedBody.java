package org.ragwortpick.entry.upstream;

/**
 * Body of a response as it was received.
 *
 * @param framing how its end was recognised
 * @param sizeBytes number of bytes
 * @param insideEvent whether it is an event stream that ended inside an event
 */
public record ReceivedBody(BodyFraming framing, long sizeBytes, boolean insideEvent) {}
