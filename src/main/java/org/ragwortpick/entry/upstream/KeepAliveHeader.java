package org.ragwortpick.entry.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser of the Keep-Alive header, in which an upstream states the idle timeout of a connection.
 */
final class KeepAliveHeader {

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
  private static final long MS_PER_SECOND = 1_000;

  private KeepAliveHeader() {}

  /**
   * Reads the idle timeout.
   *
   * @param headers headers of a response; null if there was none
   * @return timeout in milliseconds; {@link Long#MAX_VALUE} if none is stated
   */
  static long idleTimeoutMs(HeaderMap headers) {
    String value = headers == null ? null : headers.getFirst(Headers.KEEP_ALIVE);
    if (value == null) {
      return Long.MAX_VALUE;
    }
    Matcher matcher = TIMEOUT.matcher(value);
    return matcher.find() ? Long.parseLong(matcher.group(1)) * MS_PER_SECOND : Long.MAX_VALUE;
  }
}
