package org.ragwortpick.forward;

/**
 * Determines the retry time for callers of a VM that has no routing configuration yet.
 *
 * <p>The times matter when all VMs start at once, after a loss of power: callers that retry before
 * the control VMs have a leader are refused again and use up their attempts.
 */
final class MissingConfigurationRetry {

  /**
   * Time in which a VM that restarts alone gets its configuration from the control VMs: one poll
   * interval.
   */
  private static final long FIRST_POLL_MS = 500;

  /** Retry time while all VMs start: an election of the control VMs and the polls after it. */
  private static final long ALL_VMS_RETRY_MS = 2_000;

  /**
   * Retry time while only this VM starts: another VM takes the request, or this one after its first
   * poll.
   */
  private static final long SINGLE_VM_RETRY_MS = 200;

  private final long startedAtMs;

  /**
   * Creates the retry times of a VM.
   *
   * @param startedAtMs monotonic time in milliseconds at which the VM started to accept requests
   */
  MissingConfigurationRetry(long startedAtMs) {
    this.startedAtMs = startedAtMs;
  }

  /**
   * Returns the time after which a caller should retry.
   *
   * @param nowMs monotonic time in milliseconds
   * @return time from now in milliseconds
   */
  long retryAfterMs(long nowMs) {
    return nowMs - startedAtMs < FIRST_POLL_MS ? SINGLE_VM_RETRY_MS : ALL_VMS_RETRY_MS;
  }
}
