package org.ragwortpick.batch;

/** Receives the events of work that was sent to a collector on another VM. */
interface CollectorCallListener {

  /**
   * Called before the work is sent.
   *
   * @param cancelCall cancels the call; no other method is called after it
   */
  void onStarted(Runnable cancelCall);

  /**
   * Called when the work has ended.
   *
   * @param end outcome of the work
   */
  void onReply(SubmissionEnd end);

  /**
   * Called when the collector failed while it held the work.
   *
   * @param reason reason for the log
   */
  void onCollectorFailed(String reason);
}
