package org.ragwortpick.control.leader;

import java.util.Optional;
import org.ragwortpick.common.HostPort;

/**
 * Reply of a replica that could not execute a call; the call is retried.
 *
 * @param leader peer address of the leader, if the replica knows it
 */
public record Redirect(Optional<HostPort> leader) {

  /**
   * Creates a redirect from the address in a reply.
   *
   * @param address address of the leader; empty if it is unknown
   * @return the redirect
   */
  public static Redirect to(String address) {
    return new Redirect(
        address.isEmpty() ? Optional.empty() : Optional.of(HostPort.parse(address)));
  }
}
