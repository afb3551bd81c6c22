package org.ragwortpick.entry.pipeline;

import org.ragwortpick.policy.AttemptResult;

/**
 * End of an attempt.
 *
 * @param kind kind of the end
 * @param response the response if the kind is COMPLETE, otherwise null
 * @param status HTTP status; 0 if none arrived
 * @param cause description of a failure; empty if the kind is COMPLETE
 */
record AttemptEnd(Kind kind, StageResponse response, int status, String cause) {

  /** Kinds of ends and the result that each one counts as. */
  enum Kind {
    /** The complete response arrived. */
    COMPLETE(AttemptResult.SUCCESS),
    /** The upstream refused the request because it is overloaded or in cold start. */
    REFUSED(AttemptResult.REFUSED),
    /** The upstream rejected the content of the request. */
    REJECTED(AttemptResult.SUCCESS),
    /** The upstream responded with a server error. */
    ERROR(AttemptResult.FAILED),
    /** The response was not valid, or belongs to another attempt. */
    BROKEN(AttemptResult.FAILED),
    /** The connection or the stream ended before the response was complete. */
    BROKEN_OFF(AttemptResult.FAILED),
    /** No byte arrived within the progress timeout. */
    TIMED_OUT(AttemptResult.TIMED_OUT),
    /** No connection could be opened. */
    NOT_CONNECTED(AttemptResult.FAILED),
    /** The check immediately before sending failed. */
    NOT_PERMITTED(AttemptResult.CANCELLED);

    private final AttemptResult result;

    Kind(AttemptResult result) {
      this.result = result;
    }

    /**
     * Returns the result that the limiter of the upstream records.
     *
     * @return the result
     */
    AttemptResult result() {
      return result;
    }

    /**
     * Tells whether no byte of the request was sent to the upstream.
     *
     * @return true if the upstream certainly received nothing
     */
    boolean nothingSent() {
      return this == NOT_CONNECTED || this == NOT_PERMITTED;
    }

    /**
     * Tells whether the upstream may still run the request.
     *
     * @return true if the work should be cancelled there
     */
    boolean mayStillRun() {
      return this == BROKEN || this == BROKEN_OFF || this == TIMED_OUT;
    }
  }
}
