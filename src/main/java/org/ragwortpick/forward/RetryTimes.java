package org.ragwortpick.forward;

import java.time.Clock;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.policy.quarantine.HeldContent;

/** Decides when the caller of a refused request should send it again. */
final class RetryTimes {

  /** Retry time for callers that were refused because no upstream was free; one may be by then. */
  static final long MIN_MS = 300;

  /**
   * Time in which a queue drains, as a multiple of the wait of its last piece, while new work keeps
   * arriving.
   */
  private static final long QUEUE_DRAIN_FACTOR = 4;

  private static final long MIN_QUEUE_DRAIN_MS = 1_000;

  /** The longest retry time is the remaining time of the caller divided by this number. */
  private static final long DEADLINE_DIVISOR = 4;

  /** Callers of held content are not invited to come back sooner than this. */
  private static final long MIN_HELD_MS = 10_000;

  private final UpstreamChooser chooser;
  private final Clock clock;

  /**
   * Creates the retry times.
   *
   * @param chooser tells pauses and limits of upstreams
   * @param clock monotonic clock
   */
  RetryTimes(UpstreamChooser chooser, Clock clock) {
    this.chooser = chooser;
    this.clock = clock;
  }

  /**
   * Returns the time until content that is held back is tried again.
   *
   * @param held the content
   * @return time in milliseconds
   */
  long untilTrial(HeldContent held) {
    return Math.max(MIN_HELD_MS, held.trialAtMs() - clock.millis());
  }

  /**
   * Returns the retry time after a stage that failed. A caller that retries during the same burst
   * would be refused again, so it gives the queue time to drain, and is short enough that the
   * request can still be served before its deadline.
   *
   * @param failed end of the stage
   * @param remainingMs time that is left to the caller in milliseconds
   * @return time in milliseconds
   */
  long afterStage(SubmissionEnd.Failed failed, long remainingMs) {
    if (failed.cause() != SubmissionEnd.Cause.OVERLOADED) {
      return MIN_MS;
    }
    long drainMs = Math.max(MIN_QUEUE_DRAIN_MS, QUEUE_DRAIN_FACTOR * failed.waitMs());
    return Math.max(MIN_MS, Math.min(drainMs, remainingMs / DEADLINE_DIVISOR));
  }

  /**
   * Returns the retry time under overload control, where the stated wait is that of the whole path.
   * A request that is sent again then still needs the time of its path before its deadline.
   *
   * @param failed end of the stage
   * @param remainingMs time that is left to the caller in milliseconds
   * @param pathMs time of the path without waits in milliseconds
   * @return time in milliseconds
   */
  long afterPathRefused(SubmissionEnd.Failed failed, long remainingMs, long pathMs) {
    if (failed.cause() != SubmissionEnd.Cause.OVERLOADED) {
      return MIN_MS;
    }
    long drainMs = Math.max(MIN_QUEUE_DRAIN_MS, QUEUE_DRAIN_FACTOR * failed.waitMs());
    return Math.max(MIN_MS, Math.min(drainMs, remainingMs - pathMs - failed.waitMs()));
  }

  /**
   * Returns the retry time while no upstream may be asked.
   *
   * @param target upstreams that may run the request
   * @param remainingMs time that is left to the caller in milliseconds
   * @return time in milliseconds
   */
  long withoutUpstream(ServiceVersion target, long remainingMs) {
    long limitMs = Math.min(chooser.limitIntervalMs(target), remainingMs / DEADLINE_DIVISOR);
    return Math.max(MIN_MS, Math.max(chooser.pauseRemainingMs(target), limitMs));
  }
}
