package org.ragwortpick.forward;

import org.ragwortpick.entry.upstream.HttpEnd;

/** Receives the events of one attempt. */
interface AttemptListener {

  /**
   * Counts the outcome and decides whether the request is repeated at another upstream. If so,
   * {@link #onRepeat} must follow, because the repeat may already be taken from the retry budget.
   *
   * @param outcome outcome of the attempt
   * @return whether the request is repeated
   */
  boolean mayRepeat(AttemptOutcome outcome);

  /**
   * Called when the attempt has ended and the request is to be repeated.
   *
   * @param outcome outcome of the attempt
   */
  void onRepeat(AttemptOutcome outcome);

  /**
   * Called before {@link #onRepeat} if the upstream has responded with an error, which is the best
   * response for the caller if the repeat yields none.
   *
   * @param send passes the error to the caller
   */
  void onErrorResponse(Runnable send);

  /**
   * Called when the response is about to be passed to the caller.
   *
   * @param status status code
   */
  void onResponseStarted(int status);

  /**
   * Called when a response that was passed to the caller has ended.
   *
   * @param end end of the call to the upstream
   */
  void onResponseEnded(HttpEnd end);

  /**
   * Called when the attempt has ended without a response for the caller and is not repeated.
   *
   * @param outcome outcome of the attempt
   */
  void onFailed(AttemptOutcome outcome);
}
