package org.ragwortpick.rollout;

/** Request that was sent to an upstream and counts for its version. */
public interface SentRequest {

  /** Request to a service without a rollout. */
  SentRequest UNCOUNTED =
      new SentRequest() {
        @Override
        public void onFirstByte() {
          // Nothing is counted.
        }

        @Override
        public void onEnd(End end) {
          // Nothing is counted.
        }
      };

  /** Called when the head of the response arrives. */
  void onFirstByte();

  /**
   * Called when the request has ended. Later calls have no effect.
   *
   * @param end how it ended
   */
  void onEnd(End end);

  /** How a request ended, as evidence about the version of its upstream. */
  enum End {
    /** A valid response, or its beginning, arrived. */
    ANSWERED,
    /** The response was a failure or invalid. */
    FAILED,
    /** No complete response arrived, which is a failure only if the upstream is alive. */
    BROKEN,
    /** No response arrived until long after the usual time. */
    LATE,
    /** The end says nothing about the version. */
    NO_EVIDENCE
  }
}
