package org.ragwortpick.policy;

/**
 * Parameters of the policies.
 *
 * @param maxPrefixesPerEngine maximum number of prefixes in the index per engine
 * @param maxPrefixes maximum number of prefixes in the index for all engines
 * @param affinityMargin requests per slot by which the load of an engine that holds the prefix may
 *     exceed that of the best candidate
 * @param maxWaitingPerWorkspace maximum number of requests of one workspace that wait for admission
 * @param maxWaiting maximum number of requests that wait for admission
 * @param retryPercent retries and hedges per 100 first attempts
 * @param retryConstant retries and hedges within 10 s that are allowed regardless of first attempts
 */
public record PolicySettings(
    int maxPrefixesPerEngine,
    int maxPrefixes,
    double affinityMargin,
    int maxWaitingPerWorkspace,
    int maxWaiting,
    int retryPercent,
    int retryConstant) {

  /** Defaults for deployments of the size that the system is designed for. */
  public static final PolicySettings DEFAULT =
      new PolicySettings(512, 100_000, 0.0, 256, 8_192, 10, 10);
}
