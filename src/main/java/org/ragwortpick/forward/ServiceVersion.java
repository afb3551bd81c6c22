package org.ragwortpick.forward;

import java.util.Optional;
import org.ragwortpick.sync.Upstream;

/**
 * Upstreams that may run a request.
 *
 * @param service name of their service
 * @param version their version; empty if any version may run it
 */
record ServiceVersion(String service, Optional<String> version) {

  /**
   * Names all upstreams of a service.
   *
   * @param service name of the service
   * @return upstreams of any version
   */
  static ServiceVersion any(String service) {
    return new ServiceVersion(service, Optional.empty());
  }

  /**
   * Returns whether an upstream of the service has a version that may run the request.
   *
   * @param upstream an upstream of the service
   * @return whether its version is the required one, or none is required
   */
  boolean allows(Upstream upstream) {
    return version.isEmpty() || version.get().equals(upstream.version());
  }
}
