package org.ragwortpick.batch;

/** Claim to the results of a submitted stage. */
public interface StageTicket {

  /** Cancels the work if it has not ended, and releases its results otherwise. */
  void abandon();
}
