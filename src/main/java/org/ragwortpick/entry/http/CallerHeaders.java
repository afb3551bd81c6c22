package org.ragwortpick.entry.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.util.OptionalLong;
import org.ragwortpick.error.RequestError;

/**
 * Headers of a caller's request.
 *
 * @param workspace workspace of the caller
 * @param deadlineMs deadline in milliseconds, if the caller gave one
 * @param requestId id chosen by the caller; empty if there is none
 * @param traceparent W3C trace context; empty if there is none
 * @param idempotencyKey idempotency key of a non-idempotent call; empty if there is none
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if the caller gave it
 */
public record CallerHeaders(
    String workspace,
    OptionalLong deadlineMs,
    String requestId,
    String traceparent,
    String idempotencyKey,
    OptionalLong keyCreatedAtMs) {

  /** Longest header value in characters. Each record of a non-idempotent call stores two values. */
  static final int MAX_VALUE_LENGTH = 200;

  private static final String WORKSPACE = "Workspace";
  private static final String DEADLINE_MS = "Deadline-Ms";
  private static final String REQUEST_ID = "Request-Id";
  private static final String TRACEPARENT = "traceparent";
  private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  private static final String KEY_CREATED_AT = "Idempotency-Key-Created-At";

  /**
   * Parses the headers.
   *
   * @param headers headers of the request
   * @param maxDeadlineMs longest allowed deadline in milliseconds
   * @return the parsed headers, or an error that names the first header that is not valid
   */
  public static Either<RequestError, CallerHeaders> parse(HeaderMap headers, long maxDeadlineMs) {
    String workspace = headerValue(headers, WORKSPACE);
    if (workspace == null || workspace.isEmpty()) {
      return invalidHeader(WORKSPACE);
    }
    String requestId = headerValue(headers, REQUEST_ID);
    if (requestId == null) {
      return invalidHeader(REQUEST_ID);
    }
    String traceparent = headerValue(headers, TRACEPARENT);
    if (traceparent == null) {
      return invalidHeader(TRACEPARENT);
    }
    String key = headerValue(headers, IDEMPOTENCY_KEY);
    if (key == null || key.isEmpty() && headers.contains(IDEMPOTENCY_KEY)) {
      return invalidHeader(IDEMPOTENCY_KEY);
    }
    String deadline = headerValue(headers, DEADLINE_MS);
    OptionalLong deadlineMs = parseNumber(deadline);
    if (deadline == null
        || !deadline.isEmpty()
            && (deadlineMs.isEmpty()
                || deadlineMs.getAsLong() < 1
                || deadlineMs.getAsLong() > maxDeadlineMs)) {
      return Either.left(new RequestError.BadDeadline(maxDeadlineMs));
    }
    String keyCreatedAt = headerValue(headers, KEY_CREATED_AT);
    OptionalLong keyCreatedAtMs = parseNumber(keyCreatedAt);
    if (keyCreatedAt == null || !keyCreatedAt.isEmpty() && keyCreatedAtMs.isEmpty()) {
      return invalidHeader(KEY_CREATED_AT);
    }
    return Either.right(
        new CallerHeaders(workspace, deadlineMs, requestId, traceparent, key, keyCreatedAtMs));
  }

  /**
   * Tells whether a text may be used as a header value or key.
   *
   * @param text the text
   * @return true if it has at most {@value #MAX_VALUE_LENGTH} characters, all visible ASCII
   */
  static boolean isValid(String text) {
    return text.length() <= MAX_VALUE_LENGTH && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  private static String headerValue(HeaderMap headers, String name) {
    HeaderValues values = headers.get(HttpString.tryFromString(name));
    if (values == null || values.isEmpty()) {
      return "";
    }
    return values.size() == 1 && isValid(values.getFirst()) ? values.getFirst() : null;
  }

  private static OptionalLong parseNumber(String text) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return OptionalLong.empty();
    }
    return text.chars().allMatch(c -> c >= '0' && c <= '9')
        ? OptionalLong.of(Long.parseLong(text))
        : OptionalLong.empty();
  }

  private static Either<RequestError, CallerHeaders> invalidHeader(String header) {
    return Either.left(new RequestError.BadHeader(header, MAX_VALUE_LENGTH));
  }
}
