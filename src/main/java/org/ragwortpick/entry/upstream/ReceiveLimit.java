package org.ragwortpick.entry.upstream;

import java.io.IOException;

/**
 * Limit of the bytes that may be received on one connection, so that a response without an end
 * cannot fill the memory. Confined to the I/O thread of the connection.
 */
final class ReceiveLimit {

  private long remainingBytes;

  /**
   * Starts to count the head of a response.
   *
   * @param bytes largest head in bytes
   */
  void startHead(long bytes) {
    remainingBytes = bytes;
  }

  /**
   * Permits the body of a response after its head.
   *
   * @param bytes largest body in bytes
   */
  void permitBody(long bytes) {
    remainingBytes += bytes;
  }

  /**
   * Records received bytes.
   *
   * @param bytes number of bytes; not positive if none were received
   * @throws IOException if the limit is exceeded
   */
  void record(long bytes) throws IOException {
    remainingBytes -= Math.max(0, bytes);
    if (remainingBytes < 0) {
      throw new IOException("the upstream sent more bytes than a response may have");
    }
  }
}
