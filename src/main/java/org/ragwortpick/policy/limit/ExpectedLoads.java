package org.ragwortpick.policy.limit;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.policy.Candidate;

/**
 * Expected loads of the upstreams of one service, interpreted from reports of different ages.
 *
 * <p>Addresses many VMs that select by stale reports. Requests of the local VM are known exactly.
 * Those of the other VMs are taken from the report and regress to the mean of the service while the
 * requests that it counted end: after the mean duration of a request, a third of the reported
 * difference is left. Without reports, all upstreams have the mean load, and only the requests of
 * the local VM distinguish them. An upstream that is slow at this moment holds its requests for
 * longer, so these count more there.
 */
final class ExpectedLoads {

  /** Duration of requests that is assumed before one has ended. */
  private static final double INITIAL_DURATION_MS = 1_000;

  /** Age in milliseconds from which a report no longer counts in the mean of the service. */
  private static final long MEAN_VALID_MS = 20_000;

  private final long reportValidMs;

  /**
   * Creates the interpretation.
   *
   * @param reportValidMs age in milliseconds from which a report is ignored
   */
  ExpectedLoads(long reportValidMs) {
    this.reportValidMs = reportValidMs;
  }

  /**
   * Interprets what is known about the upstreams of a service.
   *
   * @param observed the upstreams
   * @return candidates in the same order
   */
  List<Candidate> interpret(List<ObservedUpstream> observed) {
    double reportedOthers = 0;
    double reportedSlots = 0;
    double durationSumMs = 0;
    int durations = 0;
    for (ObservedUpstream upstream : observed) {
      if (upstream.reportAgeMs() < MEAN_VALID_MS) {
        reportedOthers += upstream.othersAtReport();
        reportedSlots += slots(upstream);
      }
      if (upstream.meanDurationMs() > 0) {
        durationSumMs += upstream.meanDurationMs();
        durations++;
      }
    }
    double othersPerSlot = reportedSlots == 0 ? 0 : reportedOthers / reportedSlots;
    double durationMs = durations == 0 ? INITIAL_DURATION_MS : durationSumMs / durations;
    List<Candidate> candidates = new ArrayList<>(observed.size());
    for (ObservedUpstream upstream : observed) {
      candidates.add(interpret(upstream, othersPerSlot * slots(upstream), durationMs));
    }
    return candidates;
  }

  private Candidate interpret(ObservedUpstream observed, double usualOthers, double durationMs) {
    long ageMs = observed.reportAgeMs();
    double weight = ageMs < reportValidMs ? Math.exp(-ageMs / durationMs) : 0;
    double others = usualOthers + weight * (observed.othersAtReport() - usualOthers);
    return new Candidate(
        observed.upstream(),
        observed.inFlight(),
        observed.sentSinceReport(),
        observed.isAvailable(),
        (observed.inFlight() + others) / observed.momentarySpeed() + observed.additionalLoad(),
        observed.speed(),
        others);
  }

  private static double slots(ObservedUpstream observed) {
    return observed.upstream().concurrency();
  }
}
