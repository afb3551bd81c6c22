package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Services whose upstreams recently reported how long work takes there. Thread-safe.
 *
 * <p>Decisions that need this figure apply to these services only, so that deployments whose
 * upstreams do not report it are served as before.
 */
public final class WorkTimeReports {

  /**
   * Time after the last report in which a service counts as reporting, so that a service without
   * requests for some seconds is not served by other rules each time.
   */
  private static final long RETENTION_MS = 60_000;

  private final Clock clock;
  private final Map<String, Long> reportedAtMsByService = new ConcurrentHashMap<>();

  /**
   * Creates an instance without reports.
   *
   * @param clock monotonic clock
   */
  public WorkTimeReports(Clock clock) {
    this.clock = clock;
  }

  /**
   * Records that an upstream of a service reported how long work takes.
   *
   * @param service name of the service
   */
  public void record(String service) {
    reportedAtMsByService.put(service, clock.millis());
  }

  /**
   * Returns whether upstreams of a service report how long work takes.
   *
   * @param service name of the service
   * @return whether one did so recently
   */
  public boolean isReported(String service) {
    Long reportedAtMs = reportedAtMsByService.get(service);
    return reportedAtMs != null && isRecent(reportedAtMs);
  }

  /**
   * Returns whether the upstreams of any service report how long work takes.
   *
   * @return whether one did so recently
   */
  public boolean anyReported() {
    return reportedAtMsByService.values().stream().anyMatch(this::isRecent);
  }

  /** Drops the services whose upstreams no longer report it. */
  public void expire() {
    reportedAtMsByService.values().removeIf(reportedAtMs -> !isRecent(reportedAtMs));
  }

  private boolean isRecent(long reportedAtMs) {
    return clock.millis() - reportedAtMs < RETENTION_MS;
  }
}
