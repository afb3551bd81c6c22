package org.ragwortpick.entry.upstream;

/**
 * Event of a server-sent event stream.
 *
 * @param name name of the event; {@code message} if the stream states none
 * @param data data lines, joined with line feeds
 */
public record ServerSentEvent(String name, String data) {}
