package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Idle timeout that an upstream states for a connection. */
final class KeepAlive {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final long SECOND_MS = 1_000;

  private KeepAlive() {}

  /**
   * Reads the idle timeout.
   *
   * @param headers headers of an answer; null if there was none
   * @return timeout in milliseconds, the largest value if none is stated
   */
  static long idleTimeoutMs(HeaderMap headers) {
    String value = headers == null ? null : headers.getFirst(Headers.KEEP_ALIVE);
    if (value == null) {
      return Long.MAX_VALUE;
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find() ? Long.parseLong(matcher.group(1)) * SECOND_MS : Long.MAX_VALUE;
  }
}
