package org.ragwortpick.entry.call;

import java.util.OptionalLong;
import org.ragwortpick.ledger.ExecutionKey;

/**
 * Non-idempotent call of a caller.
 *
 * @param key identity of the call
 * @param service service to call
 * @param body body, passed on as it is
 * @param bodyDigest hexadecimal digest of the body
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if the caller gave it
 */
public record CallRequest(
    ExecutionKey key,
    String service,
    byte[] body,
    String bodyDigest,
    OptionalLong keyCreatedAtMs) {}
