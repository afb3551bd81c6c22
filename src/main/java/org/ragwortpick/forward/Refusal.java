package org.ragwortpick.forward;

import io.undertow.util.StatusCodes;
import org.ragwortpick.policy.quarantine.HeldContent;

/**
 * Error response of this system in place of an upstream's response. The status codes 408, 421, 429
 * and 503 guarantee that the request has not run and never will; 502 and 504 guarantee nothing.
 *
 * @param status status code
 * @param error kind of the error
 * @param message what happened and what the caller can do
 * @param retryAfterMs time in milliseconds after which the caller may retry; 0 if not stated
 */
record Refusal(int status, String error, String message, long retryAfterMs) {

  /** Status of a request that was sent to the wrong place and has not run. */
  static final int MISDIRECTED_REQUEST = 421;

  /**
   * Retry time of a VM whose configuration may be out of date: another VM takes the request, or
   * this one after its next poll.
   */
  private static final long UNCONFIRMED_RETRY_MS = 200;

  /** The VM is stopping. */
  static final Refusal STOPPING =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "stopping",
          "this VM is stopping; use another address",
          50);

  /** No route matches host and path. */
  static final Refusal NO_ROUTE =
      new Refusal(StatusCodes.NOT_FOUND, "no_route", "no route matches host and path", 0);

  /** The workspace key is missing or unknown. */
  static final Refusal UNKNOWN_KEY =
      new Refusal(
          StatusCodes.UNAUTHORIZED,
          "unknown_key",
          "the key is missing or unknown; send a valid key",
          0);

  /** The request has no request id. */
  static final Refusal NO_REQUEST_ID =
      new Refusal(
          StatusCodes.BAD_REQUEST, "no_request_id", "the request has no request id; send one", 0);

  /** The body exceeds the size limit. */
  static final Refusal BODY_TOO_LARGE =
      new Refusal(
          StatusCodes.REQUEST_ENTITY_TOO_LARGE,
          "body_too_large",
          "the body exceeds the size limit; send a shorter one",
          0);

  /**
   * The body was cut off on its way, which is no fault of its content. Nothing is sent to an
   * upstream before the body is complete.
   */
  static final Refusal INCOMPLETE_BODY =
      new Refusal(
          StatusCodes.REQUEST_TIME_OUT,
          "incomplete_body",
          "the body ended before its stated length; send the request again",
          0);

  /** The requests in flight hold all memory for callers. */
  static final Refusal NO_MEMORY =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "no_memory",
          "slow callers and request bodies hold all memory of this VM; use another address",
          250);

  /** Nothing shows at which version a stream began that a request takes up. */
  static final Refusal STREAM_VERSION_UNKNOWN =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "stream_cannot_go_on",
          "the version at which the stream began is not known; begin the stream anew",
          0);

  /** No upstream of the version is left at which a stream began that a request takes up. */
  static final Refusal STREAM_VERSION_GONE =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "stream_cannot_go_on",
          "no upstream of the version at which the stream began is left; begin the stream anew",
          0);

  /** The local VM may not know the present versions of the upstreams. */
  static final Refusal STREAM_VIEW_OUTDATED =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "stream_view_outdated",
          "this VM is cut off and may not know the versions of the upstreams; use another address",
          50);

  /** Another VM relayed the request to one that does not reach the upstreams either. */
  static final Refusal NOT_REACHED_HERE =
      new Refusal(
          MISDIRECTED_REQUEST,
          "not_reached_here",
          "this VM does not reach the upstreams of the request; relay it through another VM",
          0);

  /** The deadline passed before the request was sent to an upstream. */
  static final Refusal DEADLINE_PASSED =
      new Refusal(
          StatusCodes.SERVICE_UNAVAILABLE,
          "too_late",
          "the deadline passed before the request was sent to an upstream",
          0);

  /** The deadline passed after the request was sent to an upstream. */
  static final Refusal TIMED_OUT =
      new Refusal(
          StatusCodes.GATEWAY_TIME_OUT,
          "timed_out",
          "the upstream did not respond before the deadline",
          0);

  /** The response of the upstream was lost. */
  static final Refusal OUTCOME_UNKNOWN =
      new Refusal(
          StatusCodes.BAD_GATEWAY,
          "outcome_unknown",
          "the response of the upstream was lost; the request may have run",
          0);

  /**
   * Returns whether the status code of this refusal guarantees that the request has not run.
   *
   * @return true for status 503
   */
  boolean guaranteesNotRun() {
    return status == StatusCodes.SERVICE_UNAVAILABLE;
  }

  /**
   * Creates the refusal of a VM that has no routing configuration yet.
   *
   * @param retryAfterMs time in milliseconds after which the caller may retry
   * @return the refusal
   */
  static Refusal noConfiguration(long retryAfterMs) {
    return new Refusal(
        StatusCodes.SERVICE_UNAVAILABLE,
        "no_configuration",
        "this VM has no routes yet; use another address, or retry after the stated time",
        retryAfterMs);
  }

  /**
   * Creates the refusal of a VM whose configuration does not allow a request, and may be out of
   * date.
   *
   * @param verdict refusal that follows from the configuration
   * @return the refusal, which guarantees that the request was not run
   */
  static Refusal unconfirmed(Refusal verdict) {
    return new Refusal(
        StatusCodes.SERVICE_UNAVAILABLE,
        "unconfirmed_" + verdict.error(),
        verdict.message()
            + "; but the configuration of this VM may be out of date: use another address, or"
            + " retry after the stated time",
        UNCONFIRMED_RETRY_MS);
  }

  /**
   * Refuses a request for something in it under which upstreams ended.
   *
   * @param held what is held back
   * @param retryAfterMs time in milliseconds until it is tried again
   * @return the refusal, which guarantees that the request was not run
   */
  static Refusal heldContent(HeldContent held, long retryAfterMs) {
    String cause =
        held.isRequest()
            ? " ended under this request, whatever its id; change it, or retry after the stated"
                + " time"
            : " ended under requests with the prompt part "
                + held.content()
                + "; send the request without it, or retry after the stated time";
    return new Refusal(
        StatusCodes.SERVICE_UNAVAILABLE,
        held.isRequest() ? "request_held" : "prompt_part_held",
        "upstreams of service " + held.service() + cause,
        retryAfterMs);
  }

  /**
   * Creates the refusal of a request that no upstream can take now.
   *
   * @param detail reason
   * @param retryAfterMs time in milliseconds after which the caller may retry
   * @return the refusal
   */
  static Refusal unavailable(String detail, long retryAfterMs) {
    return new Refusal(
        StatusCodes.SERVICE_UNAVAILABLE,
        "unavailable",
        detail + "; retry after the stated time",
        retryAfterMs);
  }
}
