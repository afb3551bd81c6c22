package org.ragwortpick.ledger;

import java.util.OptionalLong;

/**
 * Request for the right to dispatch a non-idempotent call.
 *
 * @param key identity of the call
 * @param service service to call
 * @param bodyDigest hexadecimal digest of the request body
 * @param holderVm VM that asks
 * @param attemptId identity of the attempt, unique over all VMs and restarts
 * @param leaseMs time in milliseconds, counted from the sending of this request, within which the
 *     holder may dispatch and finish
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if the caller gave it
 */
public record BeginRequest(
    ExecutionKey key,
    String service,
    String bodyDigest,
    String holderVm,
    String attemptId,
    long leaseMs,
    OptionalLong keyCreatedAtMs) {}
