package org.ragwortpick.routing;

import java.util.List;

/**
 * Stage of a route, whose pieces run before the request itself.
 *
 * @param service service whose upstreams run the pieces
 * @param after positions of the stages whose results are the inputs
 * @param resultBytes approximate size of one result in bytes
 */
public record RouteStage(String service, List<Integer> after, long resultBytes) {

  /** Replaces an absent list by an empty list. */
  public RouteStage {
    after = after == null ? List.of() : List.copyOf(after);
  }
}
