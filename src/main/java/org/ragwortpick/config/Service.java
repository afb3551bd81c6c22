package org.ragwortpick.config;

import java.util.List;

/**
 * Service to which stages and calls are routed.
 *
 * @param name unique name
 * @param kind kind of work
 * @param slots requests that one warm upstream runs concurrently
 * @param coldLimit requests that one upstream runs concurrently during a cold start
 * @param rampStepMs time in milliseconds without failures after which the cold limit doubles
 * @param placements models and versions to run in each data centre
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
