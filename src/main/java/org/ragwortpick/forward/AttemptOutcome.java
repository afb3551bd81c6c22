package org.ragwortpick.forward;

/** Outcome of one attempt at an upstream, as needed to decide on a repeat. */
enum AttemptOutcome {
  /** The upstream was not asked, as it might no longer take the request. */
  NOT_PERMITTED,
  /** The attempt did not reach the upstream. */
  NOT_REACHED,
  /** The upstream stated that it did not run the request. */
  NOT_RUN,
  /** The upstream responded with a server error. */
  FAILED,
  /** No usable response arrived; the request may have run. */
  LOST
}
