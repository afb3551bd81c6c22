package org.ragwortpick.policy.quarantine;

import java.util.List;
import java.util.Set;

/**
 * Prompt part whose requests are not sent to the upstreams of a service.
 *
 * @param service name of the service
 * @param part id of the part
 * @param companions parts that came with it in all crashes, so that any of them may be the cause;
 *     only requests with all of them are held back
 * @param crashTimesMs monotonic times in milliseconds at which upstreams ended, in order
 */
public record HeldPart(
    String service, String part, Set<String> companions, List<Long> crashTimesMs) {

  /** Time until the first trial of a part with the fewest crashes that hold it back. */
  private static final long MIN_HOLD_MS = 30_000;

  /** Factor by which each further crash prolongs the time until the next trial. */
  private static final int HOLD_FACTOR = 4;

  /** Bounds the time after which a part that has become harmless is served again. */
  private static final long MAX_HOLD_MS = 3_600_000;

  /** Copies the companions and the times. */
  public HeldPart {
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
   * Returns since when the part has been held back.
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
   * Returns when a single request with the part may be sent to find out whether it still ends
   * upstreams. The time grows with each crash: weak evidence is soon tried, strong evidence rarely.
   *
   * @return monotonic time in milliseconds
   */
  public long trialAtMs() {
    long holdMs = MIN_HOLD_MS;
    for (int i = CrashAssessment.MIN_CRASHES; i < crashes() && holdMs < MAX_HOLD_MS; i++) {
      holdMs *= HOLD_FACTOR;
    }
    return lastCrashAtMs() + Math.min(holdMs, MAX_HOLD_MS);
  }
}
