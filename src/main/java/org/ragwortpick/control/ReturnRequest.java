package org.ragwortpick.control;

/**
 * Request of an operator to return a data centre to service.
 *
 * @param requestId identity of the request; a resend carries the same one
 * @param dataCentre name of the data centre
 */
public record ReturnRequest(String requestId, String dataCentre) {}
