package org.ragwortpick.standin;

/**
 * Decides which responses of an upstream end early, without a length or chunks that would show it.
 * A cut response is followed by the same number of whole ones in each run.
 */
final class ResponseCuts {

  private static final int PERCENT = 100;

  private int percent;
  private long credit;

  /** Creates an instance that cuts no response. */
  ResponseCuts() {}

  /**
   * Sets how many responses are cut.
   *
   * @param newPercent share of the responses in percent
   */
  synchronized void setPercent(int newPercent) {
    percent = newPercent;
    credit = 0;
  }

  /**
   * Decides about the next response.
   *
   * @return whether it ends early
   */
  synchronized boolean nextIsCut() {
    credit += percent;
    if (credit < PERCENT) {
      return false;
    }
    credit -= PERCENT;
    return true;
  }
}
