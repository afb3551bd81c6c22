package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.regex.Pattern;

/** Parser of the Retry-After header with a number of seconds, which may have a fraction. */
public final class RetryAfterHeader {

  private static final Pattern SECONDS = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");
  private static final double MS_PER_SECOND = 1_000;

  private RetryAfterHeader() {}

  /**
   * Reads the retry time. Dates are ignored, because they would be compared with a clock that may
   * differ from that of the sender.
   *
   * @param headers headers of a response
   * @return time in milliseconds, the longest if several are stated; 0 if none is stated that is a
   *     number
   */
  public static long delayMs(HeaderMap headers) {
    HeaderValues values = headers.get(Headers.RETRY_AFTER);
    if (values == null) {
      return 0;
    }
    return values.stream().mapToLong(RetryAfterHeader::parse).max().orElse(0);
  }

  private static long parse(String value) {
    String text = value.trim();
    return SECONDS.matcher(text).matches()
        ? (long) Math.ceil(Double.parseDouble(text) * MS_PER_SECOND)
        : 0;
  }
}
