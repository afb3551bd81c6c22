package org.ragwortpick.policy;

import java.util.Set;

/**
 * What is known about a stage when its upstream is selected.
 *
 * @param service service that runs the stage
 * @param prefixHash hash of the prompt prefix; 0 for stages without a prompt
 * @param prefixTokens tokens of the prompt prefix; 0 if unknown
 * @param dataCentre data centre that holds what the request needs; empty for none
 * @param excludedIds upstreams that already failed this stage
 */
public record SelectionRequest(
    String service,
    long prefixHash,
    long prefixTokens,
    String dataCentre,
    Set<String> excludedIds) {

  /**
   * Creates a request that prefers no data centre.
   *
   * @param service name of the service
   * @param prefixHash hash of the prompt prefix; 0 for none
   * @param excludedIds ids of upstreams that are passed over
   */
  public SelectionRequest(String service, long prefixHash, Set<String> excludedIds) {
    this(service, prefixHash, 0, "", excludedIds);
  }

  /** Copies the set. */
  public SelectionRequest {
    excludedIds = Set.copyOf(excludedIds);
  }
}
