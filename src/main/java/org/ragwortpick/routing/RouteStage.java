package org.ragwortpick.routing;

import java.util.List;

/**
 * Work that is done in pieces before a request can run.
 *
 * @param service service whose upstreams do the work
 * @param after positions of the stages whose results are the inputs
 * @param resultBytes approximate size of one result in bytes
 */
public record RouteStage(String service, List<Integer> after, long resultBytes) {

  /** Replaces an absent list by an empty one. */
  public RouteStage {
    after = after == null ? List.of() : List.copyOf(after);
  }
}
