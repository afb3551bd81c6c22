package org.ragwortpick.entry.upstream;

/** End of a call of the upstream API. */
public sealed interface UpstreamEnd permits UpstreamEnd.Answered, CallFailure {

  /**
   * The complete response was received.
   *
   * @param head status and headers
   * @param body body; empty if it was delivered as events
   */
  record Answered(UpstreamHead head, byte[] body) implements UpstreamEnd {}

  /**
   * Tells whether no byte of the request was sent.
   *
   * @return true if the upstream certainly received nothing
   */
  default boolean nothingSent() {
    return false;
  }
}
