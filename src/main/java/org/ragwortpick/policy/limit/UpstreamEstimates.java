package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.List;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.Upstream;

/**
 * Load, speed and memory of upstreams as estimated by one VM. Services whose upstreams report no
 * work time have a load only. Confined to one thread.
 *
 * @param loads load of upstreams
 * @param speeds speeds of upstreams
 * @param tokens tokens that requests hold at upstreams
 * @param workTimes services whose upstreams report work times
 */
public record UpstreamEstimates(
    UpstreamLoads loads, UpstreamSpeeds speeds, UpstreamTokens tokens, WorkTimeReports workTimes) {

  /**
   * Creates estimates without measurements.
   *
   * @param clock monotonic clock
   */
  public UpstreamEstimates(Clock clock) {
    this(
        new UpstreamLoads(clock),
        new UpstreamSpeeds(clock),
        new UpstreamTokens(),
        new WorkTimeReports(clock));
  }

  /**
   * Lists upstreams as candidates for a selector.
   *
   * @param service name of the service
   * @param upstreams upstreams of the service
   * @return candidates in the same order
   */
  public List<Candidate> describe(String service, List<Upstream> upstreams) {
    return workTimes.isReported(service)
        ? loads.describeExpected(upstreams, speeds)
        : loads.describe(upstreams);
  }

  /**
   * Lists upstreams as candidates for a request. Those without memory for it are unavailable.
   *
   * @param service name of the service
   * @param upstreams upstreams of the service
   * @param demand tokens of the request
   * @param memoryTokens memory of one upstream in tokens; 0 if unknown
   * @return candidates in the same order
   */
  public List<Candidate> describe(
      String service, List<Upstream> upstreams, TokenDemand demand, long memoryTokens) {
    List<Candidate> candidates = describe(service, upstreams);
    return workTimes.isReported(service)
        ? tokens.limit(service, candidates, demand, memoryTokens)
        : candidates;
  }

  /**
   * Returns whether no upstream of a service has memory for a request.
   *
   * @param service name of the service
   * @param upstreams upstreams of the service that may take work
   * @param demand tokens of the request
   * @param memoryTokens memory of one upstream in tokens; 0 if unknown
   * @return false if an upstream has memory, or none is available anyway
   */
  public boolean isBeyondMemory(
      String service, List<Upstream> upstreams, TokenDemand demand, long memoryTokens) {
    return describe(service, upstreams).stream().anyMatch(Candidate::isAvailable)
        && describe(service, upstreams, demand, memoryTokens).stream()
            .noneMatch(Candidate::isAvailable);
  }

  /**
   * Returns how many more requests the upstreams of a service are expected to run at once.
   *
   * @param service name of the service
   * @param upstreams upstreams of the service that may take work
   * @return number of free slots, at least 0
   */
  public int freePlaces(String service, List<Upstream> upstreams) {
    double free = 0;
    for (Candidate candidate : describe(service, upstreams)) {
      if (candidate.isAvailable()) {
        free += Math.max(0, candidate.upstream().concurrency() - candidate.expectedLoad());
      }
    }
    return (int) free;
  }

  /** Drops estimates that no longer count. */
  public void expire() {
    loads.expire();
    speeds.expire();
    workTimes.expire();
  }
}
