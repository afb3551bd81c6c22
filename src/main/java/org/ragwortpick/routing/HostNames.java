package org.ragwortpick.routing;

import java.util.Locale;

/** Form of host names in which routes and requests are compared. */
final class HostNames {

  private HostNames() {}

  /**
   * Removes the port and the difference between capitals and small letters.
   *
   * @param host host of a route or value of the Host header, with or without a port
   * @return the host name in lower case
   */
  static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    boolean hasPort = colon > 0 && host.indexOf(']') < colon;
    return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
  }
}
