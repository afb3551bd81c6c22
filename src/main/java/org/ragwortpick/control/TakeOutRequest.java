package org.ragwortpick.control;

/**
 * Request of an operator to take a data centre out of service.
 *
 * @param requestId identity of the request; a resend carries the same one
 * @param dataCentre name of the data centre
 * @param now whether to commit OUT without waiting until the other data centres are prepared
 */
public record TakeOutRequest(String requestId, String dataCentre, boolean now) {}
