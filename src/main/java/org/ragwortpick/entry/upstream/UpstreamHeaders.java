package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.util.Optional;

/** Names of the headers of the upstream API, and the parser of response headers. */
public final class UpstreamHeaders {

  /** Id of the request. */
  public static final HttpString REQUEST_ID = HttpString.tryFromString("Request-Id");

  /** Name of the stage. */
  public static final HttpString STAGE = HttpString.tryFromString("Stage");

  /** Number of the attempt. */
  public static final HttpString ATTEMPT = HttpString.tryFromString("Attempt");

  /** Time until the deadline in milliseconds. */
  public static final HttpString DEADLINE_MS = HttpString.tryFromString("Deadline-Ms");

  /** W3C trace context. */
  public static final HttpString TRACEPARENT = HttpString.tryFromString("traceparent");

  /** Set to {@code true} by an upstream in cold start. */
  public static final HttpString COLD = HttpString.tryFromString("Cold");

  /** Set to {@code true} by an upstream that is leaving. */
  public static final HttpString LEAVING = HttpString.tryFromString("Leaving");

  private UpstreamHeaders() {}

  /**
   * Parses the headers of a response.
   *
   * @param status status code
   * @param headers headers of the response
   * @return status and parsed headers
   */
  static UpstreamHead parse(int status, HeaderMap headers) {
    return new UpstreamHead(
        status,
        parseAttemptId(headers),
        "true".equalsIgnoreCase(headers.getFirst(COLD)),
        "true".equalsIgnoreCase(headers.getFirst(LEAVING)),
        RetryAfterHeader.delayMs(headers));
  }

  private static Optional<AttemptId> parseAttemptId(HeaderMap headers) {
    String requestId = headers.getFirst(REQUEST_ID);
    String stage = headers.getFirst(STAGE);
    String attempt = headers.getFirst(ATTEMPT);
    if (requestId == null || stage == null || attempt == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(new AttemptId(requestId, stage, Integer.parseInt(attempt)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
