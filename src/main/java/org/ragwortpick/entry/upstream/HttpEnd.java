package org.ragwortpick.entry.upstream;

/** How a call ended. */
public sealed interface HttpEnd {

  /** The whole answer was received. */
  record Completed() implements HttpEnd {}

  /**
   * No connection could be opened; nothing was sent.
   *
   * @param cause cause for logs
   */
  record NotConnected(String cause) implements HttpEnd {}

  /** The permit was refused; nothing was sent. */
  record NotPermitted() implements HttpEnd {}

  /**
   * The connection broke, or what was received is no answer; the request may have run.
   *
   * @param cause cause for logs
   */
  record Broken(String cause) implements HttpEnd {}

  /** No byte was received for the progress timeout; the request may have run. */
  record TimedOut() implements HttpEnd {}

  /** The call was aborted; the request may have run. */
  record Aborted() implements HttpEnd {}

  /**
   * Tells whether nothing of the request left this VM.
   *
   * @return true if the request certainly has not run
   */
  default boolean nothingSent() {
    return this instanceof NotConnected || this instanceof NotPermitted;
  }
}
