package org.ragwortpick.routing;

import java.util.Optional;

/**
 * Limits of the upstreams of a service.
 *
 * @param name unique name
 * @param coldRequestsPerSecond requests per second, from all callers, that a cold upstream can
 *     handle; 0 to select cold upstreams like warm ones
 * @param batch capacity and timing of a stage service; null for other services
 * @param memoryTokens tokens that one upstream has memory for; 0 if unknown
 */
public record ServiceProfile(
    String name, double coldRequestsPerSecond, BatchProfile batch, long memoryTokens) {

  /**
   * Creates the limits of a service whose memory in tokens is unknown.
   *
   * @param name unique name
   * @param coldRequestsPerSecond requests per second, from all callers, that a cold upstream can
   *     handle; 0 to select cold upstreams like warm ones
   * @param batch capacity and timing of a stage service; null for other services
   */
  public ServiceProfile(String name, double coldRequestsPerSecond, BatchProfile batch) {
    this(name, coldRequestsPerSecond, batch, 0);
  }

  /**
   * Returns the capacity and timing of a stage service.
   *
   * @return the batch profile; empty for other services
   */
  public Optional<BatchProfile> batching() {
    return Optional.ofNullable(batch);
  }
}
