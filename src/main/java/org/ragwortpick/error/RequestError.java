package org.ragwortpick.error;

/**
 * Reason why the request of a caller failed.
 *
 * <p>The records hold data only; {@link RequestErrorMessages} defines their messages. The simple
 * names of the records are the error codes in responses.
 */
public sealed interface RequestError {

  /**
   * The body or a header cannot be parsed.
   *
   * @param detail what cannot be parsed
   */
  record Malformed(String detail) implements RequestError {}

  /** The body was cut off before its stated length, which is no fault of its content. */
  record IncompleteBody() implements RequestError {}

  /**
   * The body is larger than the limit.
   *
   * @param limitBytes limit in bytes
   */
  record BodyTooLarge(long limitBytes) implements RequestError {}

  /**
   * A header value is absent, too long or has characters that are not allowed.
   *
   * @param header name of the header
   * @param maxLength maximum length of the value in characters
   */
  record BadHeader(String header, int maxLength) implements RequestError {}

  /**
   * The deadline is not a number or is out of range.
   *
   * @param maxMs largest allowed deadline in milliseconds
   */
  record BadDeadline(long maxMs) implements RequestError {}

  /**
   * The request names an object that the inventory does not list.
   *
   * @param type pipeline, workspace or service
   * @param name unknown name
   */
  record UnknownName(String type, String name) implements RequestError {}

  /**
   * No resource has this path and method.
   *
   * @param method HTTP method
   * @param path path of the request
   */
  record NoSuchResource(String method, String path) implements RequestError {}

  /** A non-idempotent call has no idempotency key. */
  record IdempotencyKeyMissing() implements RequestError {}

  /** The idempotency key belongs to a call with another body or service. */
  record IdempotencyKeyReused() implements RequestError {}

  /** The idempotency key is older than the retention time of the execution records. */
  record IdempotencyKeyExpired() implements RequestError {}

  /** There is no execution record for the idempotency key. */
  record UnknownCall() implements RequestError {}

  /** The call may or may not have run. */
  record OutcomeUnknown() implements RequestError {}

  /** The call was not dispatched, and its attempt will never be dispatched. */
  record CallNotRun() implements RequestError {}

  /** The local configuration is not confirmed as current. */
  record NotInForce() implements RequestError {}

  /** The VM completes the requests in flight and accepts no new ones. */
  record Draining() implements RequestError {}

  /** Admission control rejected the request. */
  record Overloaded() implements RequestError {}

  /**
   * The remaining stages cannot finish before the deadline.
   *
   * @param stage first remaining stage
   */
  record DeadlineTooShort(String stage) implements RequestError {}

  /**
   * The deadline expired.
   *
   * @param stage stage that was running
   */
  record DeadlineMissed(String stage) implements RequestError {}

  /**
   * No upstream accepted the stage within its time limit.
   *
   * @param stage stage
   * @param service service of the stage
   */
  record NoUpstream(String stage, String service) implements RequestError {}

  /**
   * The attempts of a stage failed and no further attempt was allowed.
   *
   * @param stage stage
   * @param cause failure of the last attempt
   */
  record StageFailed(String stage, String cause) implements RequestError {}

  /**
   * The upstream rejected the content of the request.
   *
   * @param stage stage
   * @param status HTTP status of the upstream
   */
  record StageRejected(String stage, int status) implements RequestError {}

  /** The caller closed its connection. */
  record CallerGone() implements RequestError {}

  /** An internal check failed; the request ended without a result. */
  record Internal() implements RequestError {}
}
