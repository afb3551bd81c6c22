package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.ragwortpick.sync.UpstreamLimit;

/** Header by which an upstream names the request rate that it takes from all VMs together. */
final class LimitHeader {

  private static final Pattern DECIMAL = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

  private LimitHeader() {}

  /**
   * Reads the rate that a response names.
   *
   * @param headers headers of the response
   * @param name name of the header
   * @return requests per second, the lowest if it is named more than once; {@link
   *     UpstreamLimit#NONE} if the response names none; empty if a value is not a decimal number of
   *     0 or more
   */
  static OptionalDouble parse(HeaderMap headers, HttpString name) {
    HeaderValues values = headers.get(name);
    if (values == null) {
      return OptionalDouble.of(UpstreamLimit.NONE);
    }
    double lowest = UpstreamLimit.NONE;
    for (String value : values) {
      if (!DECIMAL.matcher(value.trim()).matches()) {
        return OptionalDouble.empty();
      }
      lowest = Math.min(lowest, Double.parseDouble(value.trim()));
    }
    return OptionalDouble.of(lowest);
  }
}
