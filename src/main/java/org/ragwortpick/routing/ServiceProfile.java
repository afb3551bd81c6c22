package org.ragwortpick.routing;

import java.util.Optional;

/**
 * What the upstreams of a service bear.
 *
 * @param name unique name
 * @param coldRequestsPerSecond requests per second that a cold upstream bears from all callers
 * @param batch limits of a stage service; null for other services
 */
public record ServiceProfile(String name, double coldRequestsPerSecond, BatchProfile batch) {

  /**
   * Returns the limits of a stage service.
   *
   * @return the limits; empty for other services
   */
  public Optional<BatchProfile> batching() {
    return Optional.ofNullable(batch);
  }
}
