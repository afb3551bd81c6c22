package org.ragwortpick.entry.call;

/**
 * Answer of a service as the execution record holds it.
 *
 * @param status HTTP status of the service
 * @param body body as UTF-8 text
 */
public record RecordedAnswer(int status, String body) {}
