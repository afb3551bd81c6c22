package org.ragwortpick.entry.call;

import java.util.OptionalLong;
import org.ragwortpick.ledger.ExecutionKey;

/**
 * Non-idempotent service call as received from a caller.
 *
 * @param key workspace and idempotency key of the call
 * @param service service to call
 * @param body request body, forwarded unchanged
 * @param bodyDigest hexadecimal digest of the body
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if the caller gave it
 */
public record CallRequest(
    ExecutionKey key,
    String service,
    byte[] body,
    String bodyDigest,
    OptionalLong keyCreatedAtMs) {}
