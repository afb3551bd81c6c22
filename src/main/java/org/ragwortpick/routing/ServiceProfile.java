package org.ragwortpick.routing;

import java.util.Optional;

/**
 * What the upstreams of a service bear.
 *
 * @param name unique name
 * @param healthPath path of the health check
 * @param maxConnections connections that one upstream accepts from all callers
 * @param coldStartMs time in milliseconds for which a started upstream is cold
 * @param coldRequestsPerSecond requests per second that a cold upstream bears from all callers
 * @param batch limits of a stage service; null for other services
 */
public record ServiceProfile(
    String name,
    String healthPath,
    int maxConnections,
    long coldStartMs,
    double coldRequestsPerSecond,
    BatchProfile batch) {

  /**
   * Returns the limits of a stage service.
   *
   * @return the limits; empty for other services
   */
  public Optional<BatchProfile> batching() {
    return Optional.ofNullable(batch);
  }
}
