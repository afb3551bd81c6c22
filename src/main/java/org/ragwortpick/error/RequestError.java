package org.ragwortpick.error;

/**
 * Reason for which the request of a caller got no answer of its own.
 *
 * <p>The kinds carry facts only; their texts stand in {@link RequestErrorMessages}.
 */
public sealed interface RequestError {

  /**
   * The body or a header cannot be parsed.
   *
   * @param detail what cannot be parsed
   */
  record Malformed(String detail) implements RequestError {}

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
   * @param maxLength longest allowed value in characters
   */
  record BadHeader(String header, int maxLength) implements RequestError {}

  /**
   * The deadline is no number or out of range.
   *
   * @param maxMs largest allowed deadline in milliseconds
   */
  record BadDeadline(long maxMs) implements RequestError {}

  /**
   * The inventory does not list what the request names.
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

  /** A non-idempotent call came without a key. */
  record IdempotencyKeyMissing() implements RequestError {}

  /** The key belongs to a call with another body or service. */
  record IdempotencyKeyReused() implements RequestError {}

  /** The key is older than the retention time of the records. */
  record IdempotencyKeyExpired() implements RequestError {}

  /** No record of the key exists. */
  record UnknownCall() implements RequestError {}

  /** The call may or may not have run. */
  record OutcomeUnknown() implements RequestError {}

  /** The call was not dispatched, and its attempt never will be. */
  record CallNotRun() implements RequestError {}

  /** The local configuration is not confirmed as current. */
  record NotInForce() implements RequestError {}

  /** The VM finishes its work and starts no new work. */
  record Draining() implements RequestError {}

  /** Admission refused the request. */
  record Overloaded() implements RequestError {}

  /**
   * The stages that are left cannot finish in time.
   *
   * @param stage first stage that is left
   */
  record DeadlineTooShort(String stage) implements RequestError {}

  /**
   * The deadline passed.
   *
   * @param stage stage that was running
   */
  record DeadlineMissed(String stage) implements RequestError {}

  /**
   * No upstream could take the stage within its time.
   *
   * @param stage stage
   * @param service service of the stage
   */
  record NoUpstream(String stage, String service) implements RequestError {}

  /**
   * The attempts of a stage failed and no further attempt was allowed.
   *
   * @param stage stage
   * @param cause how the last attempt failed
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

  /** A check of the program failed; the request ended without an answer. */
  record Internal() implements RequestError {}
}
