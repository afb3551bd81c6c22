package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;

/** How the end of the body of a response is recognised. */
public enum BodyFraming {
  /** The response has no body. */
  NONE,
  /** The length of the body is stated. */
  LENGTH,
  /** The body is sent in chunks; an empty chunk ends it. */
  CHUNKED,
  /**
   * The body ends with the connection, so a body that ends early cannot be told from a complete
   * one.
   */
  CONNECTION_CLOSE;

  /**
   * Determines the framing of a response.
   *
   * @param method method of the request
   * @param status status code of the response
   * @param headers headers of the response
   * @return the framing
   */
  static BodyFraming of(HttpString method, int status, HeaderMap headers) {
    if (method.equals(Methods.HEAD) || !mayHaveBody(status)) {
      return NONE;
    }
    String coding = headers.getLast(Headers.TRANSFER_ENCODING);
    if (coding != null && Headers.CHUNKED.equals(new HttpString(coding))) {
      return CHUNKED;
    }
    return headers.contains(Headers.CONTENT_LENGTH) ? LENGTH : CONNECTION_CLOSE;
  }

  /**
   * Returns whether the body has a transfer coding whose end cannot be recognised.
   *
   * @param headers headers of the response
   * @return whether the body is encoded otherwise than in chunks
   */
  static boolean isUnsupported(HeaderMap headers) {
    String coding = headers.getLast(Headers.TRANSFER_ENCODING);
    return coding != null && !Headers.CHUNKED.equals(new HttpString(coding));
  }

  private static boolean mayHaveBody(int status) {
    return status >= StatusCodes.OK
        && status != StatusCodes.NO_CONTENT
        && status != StatusCodes.NOT_MODIFIED;
  }
}
