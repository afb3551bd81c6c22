package org.ragwortpick.policy.quarantine;

import java.util.List;
import java.util.Set;
import org.ragwortpick.sync.SyncTimings;

/**
 * Prompt part or whole request that is not sent to the upstreams of a service.
 *
 * @param service name of the service
 * @param content id of the part or of the request
 * @param companions contents that came with it in all crashes, so that any of them may be the
 *     cause; only requests with all of them are held back
 * @param crashTimesMs monotonic times in milliseconds at which upstreams ended, in order
 */
public record HeldContent(
    String service, String content, Set<String> companions, List<Long> crashTimesMs) {

  /** Time until the first trial of a content with the fewest crashes that hold it back. */
  private static final long MIN_HOLD_MS = 30_000;

  /** Factor by which each further crash prolongs the time until the next trial. */
  private static final int HOLD_FACTOR = 4;

  /** Bounds the time after which a content that has become harmless is served again. */
  private static final long MAX_HOLD_MS = 3_600_000;

  /**
   * Number of trials of a whole request. Unlike a part, no sound request shares it, so it does not
   * cost an upstream again and again for ever.
   */
  private static final int MAX_REQUEST_TRIALS = 2;

  /** Time after which all VMs hold the content back, so that a crash is that of a trial. */
  private static final long KNOWN_EVERYWHERE_MS = 10_000;

  /** Copies the companions and the times. */
  public HeldContent {
    companions = Set.copyOf(companions);
    crashTimesMs = List.copyOf(crashTimesMs);
  }

  /**
   * Returns the number of upstreams that ended.
   *
   * @return number of crashes
   */
  public int crashes() {
    return crashTimesMs.size();
  }

  /**
   * Returns whether a whole request is held back.
   *
   * @return false for a prompt part
   */
  public boolean isRequest() {
    return RequestContent.isRequest(content);
  }

  /**
   * Returns since when the content has been held back.
   *
   * @return monotonic time in milliseconds of the crash that was one too many
   */
  public long heldSinceMs() {
    return crashTimesMs.get(Math.min(crashes(), CrashAssessment.MIN_CRASHES) - 1);
  }

  /**
   * Returns the time of the newest crash.
   *
   * @return monotonic time in milliseconds
   */
  public long lastCrashAtMs() {
    return crashTimesMs.get(crashTimesMs.size() - 1);
  }

  /**
   * Returns when a single request with the content may be sent to find out whether it still ends
   * upstreams. The time grows with each crash: weak evidence is soon tried, strong evidence rarely.
   * A whole request is tried a few times only, then held until the evidence expires.
   *
   * @return monotonic time in milliseconds
   */
  public long trialAtMs() {
    return lastCrashAtMs() + (isRequest() ? requestHoldMs() : partHoldMs());
  }

  private long partHoldMs() {
    return holdMs(crashes() - CrashAssessment.MIN_CRASHES);
  }

  private long requestHoldMs() {
    int failedTrials =
        (int) crashTimesMs.stream().filter(ms -> ms > heldSinceMs() + KNOWN_EVERYWHERE_MS).count();
    return failedTrials < MAX_REQUEST_TRIALS
        ? holdMs(failedTrials)
        : SyncTimings.REPEATED_CRASH_RETENTION_MS;
  }

  private static long holdMs(int failedTrials) {
    long holdMs = MIN_HOLD_MS;
    for (int i = 0; i < failedTrials && holdMs < MAX_HOLD_MS; i++) {
      holdMs *= HOLD_FACTOR;
    }
    return Math.min(holdMs, MAX_HOLD_MS);
  }
}
