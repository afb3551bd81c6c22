package org.ragwortpick.policy.admission;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Newest known backlogs of the stage services. They spread with submissions and replies, so a
 * collector knows the queues of the others without messages of its own. Confined to one thread.
 */
public final class StageBacklogs {

  /** Age from which a backlog is neither used nor passed on; its queue has changed since. */
  private static final long MAX_AGE_MS = 1_500;

  private final Clock clock;
  private final Map<String, StageBacklog> backlogs = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param clock monotonic clock
   */
  public StageBacklogs(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records a backlog unless a newer one of its service is known.
   *
   * @param backlog the backlog
   */
  public void put(StageBacklog backlog) {
    backlogs.merge(
        backlog.service(),
        backlog,
        (current, other) -> other.measuredAtMs() >= current.measuredAtMs() ? other : current);
  }

  /**
   * Finds the backlog of a service.
   *
   * @param service name of the service
   * @return the newest backlog; empty if none is recent
   */
  public Optional<StageBacklog> find(String service) {
    return Optional.ofNullable(backlogs.get(service))
        .filter(backlog -> clock.millis() - backlog.measuredAtMs() <= MAX_AGE_MS);
  }

  /**
   * Lists the recent backlogs of the services on a path.
   *
   * @param path the path
   * @return one backlog for each service that has a recent one
   */
  public List<StageBacklog> on(RequestPath path) {
    return path.following().stream()
        .map(PathStage::service)
        .distinct()
        .map(service -> find(service).orElse(null))
        .filter(Objects::nonNull)
        .toList();
  }
}
