package org.ragwortpick.entry;

/**
 * Limits and timeouts of the request path.
 *
 * @param maxBodyBytes largest request body in bytes
 * @param maxResponseBytes largest response body of an upstream in bytes
 * @param maxDeadlineMs longest deadline in milliseconds that a caller may request
 * @param defaultCallDeadlineMs deadline in milliseconds of a service call without a deadline of its
 *     own
 * @param bodyTimeoutMs time in milliseconds within which a request body must arrive
 * @param connectTimeoutMs time in milliseconds to open a connection to an upstream
 * @param progressTimeoutMs time in milliseconds without a received byte after which a stream is
 *     aborted; a stage with a single response waits for at least half of its time budget
 * @param staleAfterMs time in milliseconds since its last progress after which a pooled connection
 *     is not used again
 * @param slotPollMs interval in milliseconds at which a waiting stage tries to acquire a slot
 * @param maxAttempts largest number of attempts of one stage
 * @param ledgerTimeoutMs timeout in milliseconds of one request to the execution ledger
 * @param leaseMarginMs time in milliseconds from the deadline of a call to the end of its lease
 */
public record EntrySettings(
    int maxBodyBytes,
    int maxResponseBytes,
    long maxDeadlineMs,
    long defaultCallDeadlineMs,
    long bodyTimeoutMs,
    long connectTimeoutMs,
    long progressTimeoutMs,
    long staleAfterMs,
    long slotPollMs,
    int maxAttempts,
    long ledgerTimeoutMs,
    long leaseMarginMs) {

  /** Default values, chosen for deadlines of about 3 s. */
  public static final EntrySettings DEFAULTS =
      new EntrySettings(
          1024 * 1024, 4 * 1024 * 1024, 60_000, 3_000, 10_000, 300, 1_000, 5_000, 5, 4, 400, 2_000);

  /**
   * Returns a copy with another limit for request bodies.
   *
   * @param bytes largest request body in bytes
   * @return the changed settings
   */
  public EntrySettings withMaxBodyBytes(int bytes) {
    return new EntrySettings(
        bytes,
        maxResponseBytes,
        maxDeadlineMs,
        defaultCallDeadlineMs,
        bodyTimeoutMs,
        connectTimeoutMs,
        progressTimeoutMs,
        staleAfterMs,
        slotPollMs,
        maxAttempts,
        ledgerTimeoutMs,
        leaseMarginMs);
  }
}
