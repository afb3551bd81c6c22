package org.ragwortpick.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.ragwortpick.routing.RoutedWorkspace;

/**
 * Identifies a request by what an upstream gets to run: two requests with the same fingerprint do
 * the same to it. It is the same on all VMs, and does not contain the id of the caller's attempt.
 */
final class RequestFingerprint {

  private static final String ALGORITHM = "SHA-256";

  /** Collisions of this many bytes are not expected among the requests of years. */
  private static final int KEPT_BYTES = 12;

  private final CallerRequest request;
  private String value = "";

  /**
   * Creates the fingerprint of a request. It is computed when it is first asked for.
   *
   * @param request the request
   */
  RequestFingerprint(CallerRequest request) {
    this.request = request;
  }

  /**
   * Returns the fingerprint.
   *
   * @return hexadecimal digits
   */
  String value() {
    if (value.isEmpty()) {
      value = compute();
    }
    return value;
  }

  private String compute() {
    MessageDigest digest = newDigest();
    add(digest, request.method().toString());
    add(digest, request.route().host());
    add(digest, request.target());
    add(digest, request.workspace().map(RoutedWorkspace::name).orElse(""));
    digest.update(request.body());
    return HexFormat.of().formatHex(digest.digest(), 0, KEPT_BYTES);
  }

  /** The length separates a field from the next one. */
  private static void add(MessageDigest digest, String field) {
    byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  /**
   * Creates the digest of all fingerprints.
   *
   * @return digest that has read nothing
   * @throws IllegalStateException if the runtime lacks the algorithm, which it must have
   */
  static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java runtime has " + ALGORITHM, e);
    }
  }
}
