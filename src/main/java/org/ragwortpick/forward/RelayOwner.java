package org.ragwortpick.forward;

/** Request that a {@link RelayRun} sends through other VMs. */
interface RelayOwner {

  /** Called when the request is about to be sent to another VM. */
  void onRelaying();

  /**
   * Called immediately before the first byte is written to another VM.
   *
   * @return false if the request must not be sent any more
   */
  boolean mayWriteRelayed();

  /**
   * Called when a response that was passed to the caller ended.
   *
   * @param end label of how it ended
   */
  void onRelayEnded(String end);

  /**
   * Called when the request is to be refused although it was not relayed.
   *
   * @param refusal response to the caller
   * @param reason label for the log
   */
  void onRelayRefused(Refusal refusal, String reason);

  /**
   * Called when no other VM took the request, or the response of one that took it is lost.
   *
   * @param outcome {@link AttemptOutcome#NOT_REACHED} or {@link AttemptOutcome#LOST}
   */
  void onFailed(AttemptOutcome outcome);
}
