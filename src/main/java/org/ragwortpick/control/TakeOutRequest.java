package org.ragwortpick.control;

import java.util.OptionalLong;

/**
 * Request of an operator to take a data centre out of service.
 *
 * @param requestId identity of the request; a resend carries the same one
 * @param dataCentre name of the data centre
 * @param now whether to commit OUT without waiting until the other data centres are prepared
 * @param baseRevision revision known when the operator still waited for the request; it is refused
 *     if a later order for the data centre was accepted. Empty if the request id identifies it
 */
public record TakeOutRequest(
    String requestId, String dataCentre, boolean now, OptionalLong baseRevision) {

  /**
   * Creates a request that its id alone protects from being carried out twice.
   *
   * @param requestId identity of the request
   * @param dataCentre name of the data centre
   * @param now whether to commit OUT without waiting
   */
  public TakeOutRequest(String requestId, String dataCentre, boolean now) {
    this(requestId, dataCentre, now, OptionalLong.empty());
  }
}
