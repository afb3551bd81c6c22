package org.ragwortpick.forward;

/** How one send of a request to an upstream ended, as far as repeating it goes. */
enum SendOutcome {
  /** Nothing reached the upstream. */
  NOT_REACHED,
  /** The upstream stated that it did not run the request. */
  NOT_RUN,
  /** The upstream answered with an error of its own. */
  FAILED,
  /** No usable answer arrived; the request may have run. */
  LOST
}
