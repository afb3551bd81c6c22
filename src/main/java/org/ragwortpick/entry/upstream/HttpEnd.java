package org.ragwortpick.entry.upstream;

/** How a call ended at the level of HTTP. */
public sealed interface HttpEnd permits HttpEnd.Completed, CallFailure {

  /** The whole answer was received. */
  record Completed() implements HttpEnd {}

  /**
   * Tells whether nothing of the request left this VM.
   *
   * @return true if the request certainly has not run
   */
  default boolean nothingSent() {
    return false;
  }
}
