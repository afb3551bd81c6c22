package org.ragwortpick.config;

import java.util.List;

/**
 * Service to which stages and calls are routed.
 *
 * @param name unique name
 * @param kind kind of work
 * @param slots requests that one warm upstream runs at once
 * @param coldLimit requests that one upstream bears at once in cold start
 * @param rampStepMs time in milliseconds without trouble after which a cold limit doubles
 * @param placements what should run where
 */
public record Service(
    String name,
    ServiceKind kind,
    int slots,
    int coldLimit,
    long rampStepMs,
    List<Placement> placements) {

  /** Replaces an absent list of placements by an empty one. */
  public Service {
    placements = placements == null ? List.of() : List.copyOf(placements);
  }
}
