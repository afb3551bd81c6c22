package org.ragwortpick.settings;

/**
 * Limits and timings of one process.
 *
 * @param executionGroups number of consensus groups that hold execution records
 * @param maxBodyBytes largest accepted request body in bytes
 * @param workerThreads threads that run blocking work
 * @param stopTimeoutMs time in milliseconds after which a graceful stop ends the process although
 *     requests are still in flight
 * @param weightLoadsPerSecond loads of models or adapters per second that the weight store bears
 */
public record Limits(
    int executionGroups,
    long maxBodyBytes,
    int workerThreads,
    long stopTimeoutMs,
    int weightLoadsPerSecond) {

  /** Limits used for keys that a settings file leaves out. */
  public static final Limits DEFAULT = new Limits(1, 1_048_576, 16, 60_000, 1);
}
