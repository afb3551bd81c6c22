package org.ragwortpick.policy;

import org.ragwortpick.sync.Upstream;

/**
 * Upstream that may be selected, with its load as observed by the local VM.
 *
 * @param upstream the upstream with its last reported load
 * @param inFlight requests of the local VM in flight there
 * @param sentSinceReport requests that the local VM sent there since the last load report
 * @param isAvailable false while the upstream is ejected or at its limit
 * @param expectedLoad estimated number of requests of all VMs that run at the upstream
 * @param speed speed of the upstream relative to the usual one, which is 1
 * @param otherRequests expected number of requests of other VMs at the upstream
 */
public record Candidate(
    Upstream upstream,
    int inFlight,
    int sentSinceReport,
    boolean isAvailable,
    double expectedLoad,
    double speed,
    double otherRequests) {

  /**
   * Creates a candidate of usual speed.
   *
   * @param upstream the upstream with its last reported load
   * @param inFlight requests of the local VM in flight there
   * @param sentSinceReport requests that the local VM sent there since the last load report
   * @param isAvailable false while the upstream is ejected or at its limit
   * @param expectedLoad estimated number of requests of all VMs that run at the upstream
   */
  public Candidate(
      Upstream upstream,
      int inFlight,
      int sentSinceReport,
      boolean isAvailable,
      double expectedLoad) {
    this(upstream, inFlight, sentSinceReport, isAvailable, expectedLoad, 1, 0);
  }

  /**
   * Creates an available candidate whose expected load is the reported load plus the requests sent
   * since.
   *
   * @param upstream the upstream with its last reported load
   * @param inFlight requests of the local VM in flight there
   * @param sentSinceReport requests that the local VM sent there since the last load report
   */
  public Candidate(Upstream upstream, int inFlight, int sentSinceReport) {
    this(
        upstream,
        inFlight,
        sentSinceReport,
        true,
        Math.max(upstream.load() + sentSinceReport, inFlight));
  }

  /**
   * Returns the candidate as one that must not be selected.
   *
   * @return an unavailable copy
   */
  public Candidate unavailable() {
    return new Candidate(
        upstream, inFlight, sentSinceReport, false, expectedLoad, speed, otherRequests);
  }
}
