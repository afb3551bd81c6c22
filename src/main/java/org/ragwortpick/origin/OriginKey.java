package org.ragwortpick.origin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/**
 * Digest of 16 bytes that represents a request id, so that the size of a record does not depend on
 * callers.
 *
 * @param high first 8 bytes
 * @param low last 8 bytes
 */
record OriginKey(long high, long low) {

  /** Encoded size in bytes. */
  static final int BYTES = 16;

  private static final int MAX_ID_LENGTH = 200;
  private static final String ALGORITHM = "SHA-256";

  /**
   * Computes the key of a request id.
   *
   * @param requestId the id, which comes from a caller
   * @return the key; empty if requests with this id are not recorded
   */
  static Optional<OriginKey> of(String requestId) {
    if (requestId.isEmpty() || requestId.length() > MAX_ID_LENGTH) {
      return Optional.empty();
    }
    byte[] digest = newDigest().digest(requestId.getBytes(StandardCharsets.UTF_8));
    return Optional.of(read(ByteBuffer.wrap(digest)));
  }

  /**
   * Reads an encoded key.
   *
   * @param bytes buffer with at least {@link #BYTES} remaining bytes
   * @return the key
   */
  static OriginKey read(ByteBuffer bytes) {
    return new OriginKey(bytes.getLong(), bytes.getLong());
  }

  /**
   * Appends the encoded key to a buffer.
   *
   * @param bytes the buffer
   */
  void write(ByteBuffer bytes) {
    bytes.putLong(high).putLong(low);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(ALGORITHM + " is missing; use a complete Java runtime", e);
    }
  }
}
