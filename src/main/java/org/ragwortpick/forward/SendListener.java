package org.ragwortpick.forward;

/** What a request learns of a send. */
interface SendListener {

  /**
   * Asks whether the request may be sent to another upstream. A yes is followed by {@link
   * #onRepeat}.
   *
   * @param outcome how the send ended
   * @return whether the request is sent again
   */
  boolean mayRepeat(SendOutcome outcome);

  /**
   * The send ended and the request is to be sent again.
   *
   * @param outcome how the send ended
   */
  void onRepeat(SendOutcome outcome);

  /**
   * The answer goes to the caller.
   *
   * @param status status code
   */
  void onAnswerStarted(int status);

  /**
   * The answer ended.
   *
   * @param complete false if it was broken off
   */
  void onAnswerEnded(boolean complete);

  /**
   * The send ended without an answer for the caller.
   *
   * @param outcome how the send ended
   * @param retryAfterMs time in milliseconds that the upstream stated; 0 for none
   */
  void onFailed(SendOutcome outcome, long retryAfterMs);
}
