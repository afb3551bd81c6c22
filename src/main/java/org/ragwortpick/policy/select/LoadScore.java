package org.ragwortpick.policy.select;

import org.ragwortpick.policy.Candidate;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** Load of a candidate relative to what it can run. */
final class LoadScore {

  private LoadScore() {}

  /**
   * Computes the load of a candidate after the request would have been sent there.
   *
   * @param candidate the candidate
   * @return expected requests per slot
   */
  static double of(Candidate candidate) {
    Upstream upstream = candidate.upstream();
    int places = upstream.state() == UpstreamState.COLD ? upstream.coldLimit() : upstream.slots();
    return (candidate.expectedLoad() + 1.0) / Math.max(1, places);
  }
}
