package org.ragwortpick.policy;

/**
 * Constants of the decisions.
 *
 * @param maxPrefixesPerEngine most prefixes that the index keeps for one engine
 * @param maxPrefixes most prefixes that the index keeps for all engines
 * @param affinityMargin requests per slot by which the holder of a prefix may be more loaded
 * @param maxWaitingPerWorkspace most requests of one workspace that wait for admission
 * @param maxWaiting most requests that wait for admission
 * @param retryPercent retries and hedges per 100 first attempts
 * @param retryConstant retries and hedges within 10 s that need no first attempts
 */
public record PolicySettings(
    int maxPrefixesPerEngine,
    int maxPrefixes,
    double affinityMargin,
    int maxWaitingPerWorkspace,
    int maxWaiting,
    int retryPercent,
    int retryConstant) {

  /** Constants for the sizes of the design. */
  public static final PolicySettings DEFAULT =
      new PolicySettings(512, 100_000, 0.0, 256, 8_192, 10, 10);
}
