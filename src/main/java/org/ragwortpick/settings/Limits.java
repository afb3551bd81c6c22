package org.ragwortpick.settings;

/**
 * Limits and timings of one process.
 *
 * @param executionGroups number of consensus groups that hold execution records
 * @param maxBodyBytes largest accepted request body in bytes
 * @param workerThreads number of threads that run blocking work
 * @param stopTimeoutMs time in milliseconds after which a graceful stop ends the process even if
 *     requests are still in flight
 * @param weightLoadsPerSecond maximum rate of model and adapter loads that the weight store
 *     sustains, per second
 */
public record Limits(
    int executionGroups,
    long maxBodyBytes,
    int workerThreads,
    long stopTimeoutMs,
    int weightLoadsPerSecond) {

  /** Default values for keys that are absent from a settings file. */
  public static final Limits DEFAULT = new Limits(1, 1_048_576, 16, 60_000, 1);
}
