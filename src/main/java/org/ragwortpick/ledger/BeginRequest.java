package org.ragwortpick.ledger;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Request for the right to dispatch a non-idempotent call.
 *
 * @param key identity of the call
 * @param service service to call
 * @param bodyDigest hexadecimal digest of the request body
 * @param holderVm VM of the attempt
 * @param attemptId identity of the attempt, unique across all VMs and restarts
 * @param leaseMs time in milliseconds after the sending of this request within which the holder may
 *     dispatch and finish
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if sent by the caller
 * @param afterAttemptId attempt whose NOT_RUN was committed before the request of the caller
 *     arrived; needed to begin again after a NOT_RUN
 */
public record BeginRequest(
    ExecutionKey key,
    String service,
    String bodyDigest,
    String holderVm,
    String attemptId,
    long leaseMs,
    OptionalLong keyCreatedAtMs,
    Optional<String> afterAttemptId) {

  /**
   * Creates the first request of an attempt.
   *
   * @param key identity of the call
   * @param service service to call
   * @param bodyDigest hexadecimal digest of the request body
   * @param holderVm VM of the attempt
   * @param attemptId identity of the attempt, unique across all VMs and restarts
   * @param leaseMs time in milliseconds after the sending of this request within which the holder
   *     may dispatch and finish
   * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if sent by the
   *     caller
   */
  public BeginRequest(
      ExecutionKey key,
      String service,
      String bodyDigest,
      String holderVm,
      String attemptId,
      long leaseMs,
      OptionalLong keyCreatedAtMs) {
    this(key, service, bodyDigest, holderVm, attemptId, leaseMs, keyCreatedAtMs, Optional.empty());
  }

  /**
   * Returns a copy of this request that may be granted after the NOT_RUN of another attempt.
   *
   * @param earlierAttemptId attempt that holds the NOT_RUN record
   * @return the request
   */
  public BeginRequest after(String earlierAttemptId) {
    return new BeginRequest(
        key,
        service,
        bodyDigest,
        holderVm,
        attemptId,
        leaseMs,
        keyCreatedAtMs,
        Optional.of(earlierAttemptId));
  }
}
