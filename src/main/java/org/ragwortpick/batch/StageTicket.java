package org.ragwortpick.batch;

/** Stage work that was handed over. */
public interface StageTicket {

  /** Cancels the work if it has not ended, and gives up its results otherwise. */
  void abandon();
}
