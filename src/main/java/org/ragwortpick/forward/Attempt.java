package org.ragwortpick.forward;

/** Attempt of a request at an upstream, or through another VM. */
interface Attempt {

  /** Closes the connection of the attempt. Its listener is not called any more. */
  void abort();

  /**
   * Returns whether the head of the response was passed to the caller.
   *
   * @return whether the response has started
   */
  boolean responseStarted();
}
