package org.ragwortpick.entry.upstream;

/** End of a call at the level of HTTP. */
public sealed interface HttpEnd permits HttpEnd.Completed, CallFailure {

  /**
   * The complete response was received.
   *
   * @param body its body
   */
  record Completed(ReceivedBody body) implements HttpEnd {}

  /**
   * Tells whether no byte of the request was sent.
   *
   * @return true if the request certainly has not run
   */
  default boolean nothingSent() {
    return false;
  }
}
