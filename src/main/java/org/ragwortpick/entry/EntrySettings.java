package org.ragwortpick.entry;

/**
 * Limits and timeouts of the request path.
 *
 * @param maxBodyBytes largest request body in bytes
 * @param maxAnswerBytes largest answer of an upstream in bytes
 * @param maxDeadlineMs longest deadline that a caller may ask for in milliseconds
 * @param callDeadlineMs deadline in milliseconds of a service call that states none
 * @param bodyTimeoutMs time in milliseconds within which a request body must arrive
 * @param connectTimeoutMs time in milliseconds to open a connection to an upstream
 * @param progressTimeoutMs time in milliseconds without a byte after which a stream is given up; a
 *     stage with a single answer waits for half of its time at least
 * @param staleAfterMs time in milliseconds since its last progress after which a pooled connection
 *     is not used again
 * @param placePollMs interval in milliseconds at which a waiting stage asks for a place
 * @param maxAttempts most attempts of one stage
 * @param ledgerTryMs time in milliseconds that one try to reach the execution records may take
 * @param leaseMarginMs time in milliseconds by which the lease of an attempt outlasts the deadline
 */
public record EntrySettings(
    int maxBodyBytes,
    int maxAnswerBytes,
    long maxDeadlineMs,
    long callDeadlineMs,
    long bodyTimeoutMs,
    long connectTimeoutMs,
    long progressTimeoutMs,
    long staleAfterMs,
    long placePollMs,
    int maxAttempts,
    long ledgerTryMs,
    long leaseMarginMs) {

  /** Values for both users of the design page, whose deadlines are about 3 s. */
  public static final EntrySettings DEFAULTS =
      new EntrySettings(
          1024 * 1024, 4 * 1024 * 1024, 60_000, 3_000, 10_000, 300, 1_000, 5_000, 5, 4, 400, 2_000);

  /**
   * Replaces the limit of request bodies.
   *
   * @param bytes largest request body in bytes
   * @return the changed settings
   */
  public EntrySettings withMaxBodyBytes(int bytes) {
    return new EntrySettings(
        bytes,
        maxAnswerBytes,
        maxDeadlineMs,
        callDeadlineMs,
        bodyTimeoutMs,
        connectTimeoutMs,
        progressTimeoutMs,
        staleAfterMs,
        placePollMs,
        maxAttempts,
        ledgerTryMs,
        leaseMarginMs);
  }
}
