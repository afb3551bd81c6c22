package org.ragwortpick.entry.upstream;

/** How a call to an upstream ended. */
public sealed interface UpstreamEnd {

  /**
   * The whole answer arrived.
   *
   * @param head status and headers
   * @param body body; empty if the answer was delivered as events
   */
  record Answered(UpstreamHead head, byte[] body) implements UpstreamEnd {}

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param cause why the connection could not be opened
   */
  record NotConnected(String cause) implements UpstreamEnd {}

  /** The permit was refused, so nothing was sent. */
  record NotPermitted() implements UpstreamEnd {}

  /**
   * The connection broke or the answer could not be parsed. The upstream may have run the request.
   *
   * @param cause what happened
   */
  record Broken(String cause) implements UpstreamEnd {}

  /** No byte arrived within the progress timeout. The upstream may have run the request. */
  record TimedOut() implements UpstreamEnd {}

  /** The call was aborted locally. */
  record Aborted() implements UpstreamEnd {}

  /**
   * Tells whether the upstream certainly received nothing.
   *
   * @return true if no byte was sent
   */
  default boolean nothingSent() {
    return this instanceof NotConnected || this instanceof NotPermitted;
  }
}
