package org.ragwortpick.policy.select;

import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Load of a candidate relative to the number of requests that it can run. */
final class LoadScore {

  private LoadScore() {}

  /**
   * Computes the load of a candidate including one additional request.
   *
   * @param candidate the candidate
   * @return expected requests per slot
   */
  static double of(Candidate candidate) {
    Upstream upstream = candidate.upstream();
    int concurrency =
        upstream.state() == UpstreamState.COLD ? upstream.coldLimit() : upstream.slots();
    return (candidate.expectedLoad() + 1.0) / Math.max(1, concurrency);
  }
}
