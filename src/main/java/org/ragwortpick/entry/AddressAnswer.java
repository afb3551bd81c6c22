package org.ragwortpick.entry;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Answer to a caller that asks for addresses.
 *
 * @param addresses caller addresses, best first
 * @param validForSeconds time in seconds for which the caller may keep the answer
 */
public record AddressAnswer(List<HostPort> addresses, int validForSeconds) {

  /** Copies the addresses. */
  public AddressAnswer {
    addresses = List.copyOf(addresses);
  }
}
