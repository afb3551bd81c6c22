package org.ragwortpick.entry.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.util.OptionalLong;
import org.ragwortpick.error.RequestError;

/**
 * Headers of a caller.
 *
 * @param workspace workspace
 * @param deadlineMs deadline in milliseconds, if the caller gave one
 * @param requestId identity that the caller chose; empty if it chose none
 * @param traceparent W3C trace context; empty if there is none
 * @param idempotencyKey key of a non-idempotent call; empty if there is none
 * @param keyCreatedAtMs creation time of the key in milliseconds since 1970, if the caller gave it
 */
public record CallerHeaders(
    String workspace,
    OptionalLong deadlineMs,
    String requestId,
    String traceparent,
    String idempotencyKey,
    OptionalLong keyCreatedAtMs) {

  /** Longest header value; the records of non-idempotent calls keep two of them. */
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
   * @param maxDeadlineMs longest deadline in milliseconds
   * @return the parsed headers, or the first one that is not valid
   */
  public static Either<RequestError, CallerHeaders> parse(HeaderMap headers, long maxDeadlineMs) {
    String workspace = value(headers, WORKSPACE);
    if (workspace == null || workspace.isEmpty()) {
      return bad(WORKSPACE);
    }
    String requestId = value(headers, REQUEST_ID);
    if (requestId == null) {
      return bad(REQUEST_ID);
    }
    String traceparent = value(headers, TRACEPARENT);
    if (traceparent == null) {
      return bad(TRACEPARENT);
    }
    String key = value(headers, IDEMPOTENCY_KEY);
    if (key == null || key.isEmpty() && headers.contains(IDEMPOTENCY_KEY)) {
      return bad(IDEMPOTENCY_KEY);
    }
    String deadline = value(headers, DEADLINE_MS);
    OptionalLong deadlineMs = number(deadline);
    if (deadline == null
        || !deadline.isEmpty()
            && (deadlineMs.isEmpty()
                || deadlineMs.getAsLong() < 1
                || deadlineMs.getAsLong() > maxDeadlineMs)) {
      return Either.left(new RequestError.BadDeadline(maxDeadlineMs));
    }
    String created = value(headers, KEY_CREATED_AT);
    OptionalLong createdMs = number(created);
    if (created == null || !created.isEmpty() && createdMs.isEmpty()) {
      return bad(KEY_CREATED_AT);
    }
    return Either.right(
        new CallerHeaders(workspace, deadlineMs, requestId, traceparent, key, createdMs));
  }

  /**
   * Tells whether a text may be used as a header value or key.
   *
   * @param text the text
   * @return true if it has at most the allowed number of visible ASCII characters
   */
  static boolean isValid(String text) {
    return text.length() <= MAX_VALUE_LENGTH && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  private static String value(HeaderMap headers, String name) {
    HeaderValues values = headers.get(HttpString.tryFromString(name));
    if (values == null || values.isEmpty()) {
      return "";
    }
    return values.size() == 1 && isValid(values.getFirst()) ? values.getFirst() : null;
  }

  private static OptionalLong number(String text) {
    if (text == null || text.isEmpty() || text.length() > 18) {
      return OptionalLong.empty();
    }
    return text.chars().allMatch(c -> c >= '0' && c <= '9')
        ? OptionalLong.of(Long.parseLong(text))
        : OptionalLong.empty();
  }

  private static Either<RequestError, CallerHeaders> bad(String header) {
    return Either.left(new RequestError.BadHeader(header, MAX_VALUE_LENGTH));
  }
}
