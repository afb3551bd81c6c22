package org.ragwortpick.control;

import java.util.OptionalLong;

/**
 * Request of an operator to return a data centre to service.
 *
 * @param requestId identity of the request; a resend carries the same one
 * @param dataCentre name of the data centre
 * @param baseRevision revision known when the operator still waited for the request; it is refused
 *     if a later order for the data centre was accepted. Empty if the request id identifies it
 */
public record ReturnRequest(String requestId, String dataCentre, OptionalLong baseRevision) {

  /**
   * Creates a request that its id alone protects from being carried out twice.
   *
   * @param requestId identity of the request
   * @param dataCentre name of the data centre
   */
  public ReturnRequest(String requestId, String dataCentre) {
    this(requestId, dataCentre, OptionalLong.empty());
  }
}
