package org.ragwortpick.entry;

import java.util.List;
import org.ragwortpick.common.HostPort;

/**
 * Response to a caller that asks for the addresses of entry VMs.
 *
 * @param addresses caller addresses of entry VMs, the preferred one first
 * @param validForSeconds time in seconds for which the caller may cache the response
 */
public record AddressResponse(List<HostPort> addresses, int validForSeconds) {

  /** Copies the addresses. */
  public AddressResponse {
    addresses = List.copyOf(addresses);
  }
}
