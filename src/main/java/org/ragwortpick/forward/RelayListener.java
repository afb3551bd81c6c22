package org.ragwortpick.forward;

import org.ragwortpick.entry.upstream.HttpEnd;

/** Receives the events of a {@link RelayedAttempt}. Exactly one of the ends is reported. */
interface RelayListener {

  /**
   * Called when the head of the response is passed to the caller.
   *
   * @param status status code
   */
  void onRelayStarted(int status);

  /**
   * Called when a response that was passed to the caller ended.
   *
   * @param end how it ended
   */
  void onRelayEnded(HttpEnd end);

  /**
   * Called when the attempt ended before anything was passed to the caller.
   *
   * @param notRun whether the request certainly has not run
   */
  void onRelayFailed(boolean notRun);
}
