package org.ragwortpick.entry.upstream;

/** How a call to an upstream ended. */
public sealed interface UpstreamEnd permits UpstreamEnd.Answered, CallFailure {

  /**
   * The whole answer arrived.
   *
   * @param head status and headers
   * @param body body; empty if the answer was delivered as events
   */
  record Answered(UpstreamHead head, byte[] body) implements UpstreamEnd {}

  /**
   * Tells whether the upstream certainly received nothing.
   *
   * @return true if no byte was sent
   */
  default boolean nothingSent() {
    return false;
  }
}
