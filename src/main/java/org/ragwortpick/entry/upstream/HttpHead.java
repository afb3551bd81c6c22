package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;

/**
 * Head of a response.
 *
 * @param status status code
 * @param headers headers
 * @param framing how the end of the body is recognised
 */
public record HttpHead(int status, HeaderMap headers, BodyFraming framing) {

  private static final int FIRST_REDIRECT_STATUS = 300;

  /**
   * Returns whether the request was successful.
   *
   * @return whether the status code is in the range of 200 to 299
   */
  public boolean isSuccess() {
    return status >= StatusCodes.OK && status < FIRST_REDIRECT_STATUS;
  }
}
