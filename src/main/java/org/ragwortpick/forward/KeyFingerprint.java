package org.ragwortpick.forward;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** Identifies the key of a caller in logs, which must not contain the key itself. */
final class KeyFingerprint {

  /** Tells the keys of a deployment apart, and does not determine a key. */
  private static final int KEPT_BYTES = 4;

  private KeyFingerprint() {}

  /**
   * Returns the fingerprint of a key.
   *
   * @param key the key as it is looked up
   * @return hexadecimal digits, the first of the SHA-256 of the key
   */
  static String of(String key) {
    byte[] digest = RequestFingerprint.newDigest().digest(key.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of().formatHex(digest, 0, KEPT_BYTES);
  }
}
