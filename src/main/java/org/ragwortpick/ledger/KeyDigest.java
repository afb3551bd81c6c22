package org.ragwortpick.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Digest of 16 bytes that represents an execution key after its record was dropped.
 *
 * @param high first 8 bytes
 * @param low last 8 bytes
 */
record KeyDigest(long high, long low) {

  /** Encoded size in bytes. */
  static final int BYTES = 16;

  private static final String ALGORITHM = "SHA-256";

  /**
   * Computes the digest of a key.
   *
   * @param key the key
   * @return the digest
   */
  static KeyDigest of(ExecutionKey key) {
    byte[] workspace = key.workspace().getBytes(StandardCharsets.UTF_8);
    MessageDigest digest = newDigest();
    // The length prefix separates the two strings, so that ("ab", "c") and ("a", "bc") differ.
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, workspace.length));
    digest.update(workspace);
    digest.update(key.idempotencyKey().getBytes(StandardCharsets.UTF_8));
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
    return new KeyDigest(bytes.getLong(), bytes.getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(ALGORITHM + " is missing; use a complete Java runtime", e);
    }
  }
}
