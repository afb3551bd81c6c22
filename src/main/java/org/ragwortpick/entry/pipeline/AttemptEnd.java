package org.ragwortpick.entry.pipeline;

import org.ragwortpick.policy.AttemptResult;

/**
 * How an attempt ended.
 *
 * @param kind kind of the end
 * @param response answer if the attempt is complete, otherwise null
 * @param status HTTP status; 0 if none arrived
 * @param cause what happened
 */
record AttemptEnd(Kind kind, StageAnswer response, int status, String cause) {

  /** Kinds of ends. */
  enum Kind {
    /** The whole answer arrived. */
    COMPLETE(AttemptResult.SUCCESS),
    /** The upstream refused the request as it is overloaded or cold. */
    REFUSED(AttemptResult.REFUSED),
    /** The upstream rejected the content of the request. */
    REJECTED(AttemptResult.SUCCESS),
    /** The upstream answered with an error of its own. */
    ERROR(AttemptResult.FAILED),
    /** The answer broke off, was not valid, or belongs to another attempt. */
    BROKEN(AttemptResult.FAILED),
    /** No byte arrived within the progress timeout. */
    TIMED_OUT(AttemptResult.TIMED_OUT),
    /** No connection could be opened. */
    NOT_CONNECTED(AttemptResult.FAILED),
    /** The last check before sending failed. */
    NOT_PERMITTED(AttemptResult.CANCELLED);

    private final AttemptResult result;

    Kind(AttemptResult result) {
      this.result = result;
    }

    /**
     * Returns the result that the limiter records.
     *
     * @return the result
     */
    AttemptResult result() {
      return result;
    }

    /**
     * Tells whether the upstream certainly received nothing.
     *
     * @return true if nothing was sent
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
      return this == BROKEN || this == TIMED_OUT;
    }
  }
}
