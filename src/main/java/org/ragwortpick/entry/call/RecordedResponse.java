package org.ragwortpick.entry.call;

/**
 * Response of a service as stored in the execution record.
 *
 * @param status HTTP status of the service
 * @param body body as UTF-8 text
 */
public record RecordedResponse(int status, String body) {}
