package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Receives the answer to a call, on the I/O thread of its connection. */
public interface HttpListener {

  /**
   * The head of the answer was received.
   *
   * @param status status code
   * @param headers headers of the answer
   */
  void onHead(int status, HeaderMap headers);

  /**
   * Bytes of the body were received.
   *
   * @param bytes the bytes, valid during the call
   * @return false to break the call, because the bytes cannot be used
   */
  boolean onBytes(ByteBuffer bytes);

  /**
   * The call ended. Called once.
   *
   * @param end how it ended
   */
  void onEnd(HttpEnd end);
}
