package org.ragwortpick.policy;

import java.util.Set;

/**
 * What is known about a stage when its upstream is selected.
 *
 * @param service service that runs the stage
 * @param prefixHash hash of the prompt prefix; 0 for stages without a prompt
 * @param excludedIds upstreams that already failed this stage
 */
public record SelectionRequest(String service, long prefixHash, Set<String> excludedIds) {

  /** Copies the set. */
  public SelectionRequest {
    excludedIds = Set.copyOf(excludedIds);
  }
}
