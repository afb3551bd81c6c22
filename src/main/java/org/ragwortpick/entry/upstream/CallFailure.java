package org.ragwortpick.entry.upstream;

/** End of a call without a complete response. */
public sealed interface CallFailure extends HttpEnd, UpstreamEnd {

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param cause description of the connect failure
   */
  record NotConnected(String cause) implements CallFailure {}

  /** The permit of the request was denied, so nothing was sent. */
  record NotPermitted() implements CallFailure {}

  /**
   * The connection failed or the response was not usable. The upstream may have run the request.
   *
   * @param cause description of the failure
   */
  record Broken(String cause) implements CallFailure {}

  /** No byte arrived within the progress timeout. The upstream may have run the request. */
  record TimedOut() implements CallFailure {}

  /** The call was aborted locally. The upstream may have run the request. */
  record Aborted() implements CallFailure {}

  @Override
  default boolean nothingSent() {
    return this instanceof NotConnected || this instanceof NotPermitted;
  }
}
