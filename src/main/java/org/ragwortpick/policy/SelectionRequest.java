package org.ragwortpick.policy;

import java.util.Set;

/**
 * Criteria for selecting the upstream of a stage.
 *
 * @param service service that runs the stage
 * @param prefixHash hash of the prompt prefix; 0 for stages without a prompt
 * @param prefixTokens tokens of the prompt prefix; 0 if unknown
 * @param dataCentre data centre that holds the inputs of the request; empty for none
 * @param excludedIds ids of upstreams that must not be selected, such as those that failed this
 *     stage
 */
public record SelectionRequest(
    String service,
    long prefixHash,
    long prefixTokens,
    String dataCentre,
    Set<String> excludedIds) {

  /**
   * Creates criteria without a preferred data centre.
   *
   * @param service name of the service
   * @param prefixHash hash of the prompt prefix; 0 for none
   * @param excludedIds ids of upstreams that must not be selected
   */
  public SelectionRequest(String service, long prefixHash, Set<String> excludedIds) {
    this(service, prefixHash, 0, "", excludedIds);
  }

  /** Copies the set. */
  public SelectionRequest {
    excludedIds = Set.copyOf(excludedIds);
  }
}
