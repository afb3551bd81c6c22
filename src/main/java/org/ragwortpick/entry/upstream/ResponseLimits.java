package org.ragwortpick.entry.upstream;

/**
 * Limits of one response.
 *
 * @param progressTimeoutMs time in milliseconds without a received byte after which the call times
 *     out
 * @param totalTimeoutMs time in milliseconds after which the call times out even if bytes still
 *     arrive
 * @param maxBodyBytes largest body in bytes
 */
public record ResponseLimits(long progressTimeoutMs, long totalTimeoutMs, long maxBodyBytes) {

  /** Longer than any process runs, and far from an overflow when added to a time. */
  private static final long NO_TIMEOUT_MS = Long.MAX_VALUE / 4;

  /**
   * Creates the limits of a call whose owner aborts it in time.
   *
   * @param progressTimeoutMs time in milliseconds without a received byte after which the call
   *     times out
   * @param maxBodyBytes largest body in bytes
   * @return the limits
   */
  public static ResponseLimits withoutTotalTimeout(long progressTimeoutMs, long maxBodyBytes) {
    return new ResponseLimits(progressTimeoutMs, NO_TIMEOUT_MS, maxBodyBytes);
  }
}
