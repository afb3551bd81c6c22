package org.ragwortpick.entry.upstream;

import java.nio.ByteBuffer;

/** Receives the response to a call, on the I/O thread of its connection. */
public interface HttpListener {

  /**
   * The status line and the headers of the response were received.
   *
   * @param head status and headers
   * @return false if the response does not belong to the request: the call then ends as broken, and
   *     nothing that follows can complete it
   */
  boolean onHead(HttpHead head);

  /**
   * Bytes of the body were received.
   *
   * @param bytes the bytes, valid during the call
   * @return false to abort the call, because the bytes are not usable
   */
  boolean onBytes(ByteBuffer bytes);

  /**
   * Returns how many bytes of the body may be read at once. Called before each read.
   *
   * @return positive number of bytes
   */
  default int maxReadBytes() {
    return Integer.MAX_VALUE;
  }

  /**
   * Returns whether a complete response certainly belongs to the request. Its connection is closed
   * otherwise, since the response to the request may still follow on it. Called before {@link
   * #onEnd}.
   *
   * @return whether the connection may be used for another request
   */
  boolean isIdentified();

  /**
   * The call ended. Called once.
   *
   * @param end end of the call
   */
  void onEnd(HttpEnd end);
}
