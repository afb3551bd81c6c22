package org.ragwortpick.entry.upstream;

/** How a call ended without a whole answer. */
public sealed interface CallFailure extends HttpEnd, UpstreamEnd {

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param cause why the connection could not be opened
   */
  record NotConnected(String cause) implements CallFailure {}

  /** The permit was refused, so nothing was sent. */
  record NotPermitted() implements CallFailure {}

  /**
   * The connection broke or the answer could not be used. The upstream may have run the request.
   *
   * @param cause what happened
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
