package org.ragwortpick.policy.select;

import org.ragwortpick.policy.Candidate;

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
    return (candidate.expectedLoad() + 1.0) / slots(candidate);
  }

  /**
   * Returns how many requests a candidate runs at once.
   *
   * @param candidate the candidate
   * @return its slots, or its cold limit in cold start; at least 1
   */
  static double slots(Candidate candidate) {
    return candidate.upstream().concurrency();
  }
}
