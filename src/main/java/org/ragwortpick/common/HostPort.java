package org.ragwortpick.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IPv4 address and port of a network endpoint.
 *
 * @param host IPv4 address in dotted decimal notation
 * @param port TCP port, 1 to 65535
 */
public record HostPort(String host, int port) {

  /** Placeholder for an absent address. */
  public static final HostPort NONE = new HostPort("0.0.0.0", 0);

  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

  /**
   * Parses an address of the form {@code 10.0.0.1:8080}.
   *
   * @param text the address
   * @return the parsed address
   * @throws IllegalArgumentException if the text is not an IPv4 address with a port
   */
  @JsonCreator
  public static HostPort parse(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    if (!matcher.matches() || !octetsInRange(matcher)) {
      throw new IllegalArgumentException(
          "address \"" + text + "\" is not an IPv4 address with a port; write it as 10.0.0.1:8080");
    }
    int port = Integer.parseInt(matcher.group(5));
    if (port == 0 || port > MAX_PORT) {
      throw new IllegalArgumentException(
          "port of address \"" + text + "\" is out of range; use 1 to " + MAX_PORT);
    }
    return new HostPort(text.substring(0, text.indexOf(':')), port);
  }

  private static boolean octetsInRange(Matcher matcher) {
    for (int group = 1; group <= 4; group++) {
      if (Integer.parseInt(matcher.group(group)) > MAX_OCTET) {
        return false;
      }
    }
    return true;
  }

  @JsonValue
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
