package org.ragwortpick.policy.limit;

/**
 * Request of one VM at an upstream whose response has not begun. Confined to the thread of its
 * {@link UpstreamLoads}.
 */
public final class PendingResponse {

  private static final long MIN_SILENCE_MS = 500;

  /** Time without a response, as a multiple of the usual time, from which a request is silent. */
  private static final long SILENCE_FACTOR = 8;

  /** The same for a request that later requests have overtaken. */
  private static final long OVERTAKEN_FACTOR = 2;

  /** Number of later requests whose responses show that the upstream is not merely slow. */
  private static final int MIN_OVERTAKING = 3;

  private final String upstreamId;
  private final long startedAtMs;
  private final long usualMs;
  private int overtaking;

  /**
   * Creates a request that has just been sent.
   *
   * @param upstreamId id of the upstream
   * @param startedAtMs monotonic time of the start in milliseconds
   * @param usualMs usual time until the head of the response in milliseconds
   */
  PendingResponse(String upstreamId, long startedAtMs, long usualMs) {
    this.upstreamId = upstreamId;
    this.startedAtMs = startedAtMs;
    this.usualMs = usualMs;
  }

  /**
   * Returns the upstream.
   *
   * @return id of the upstream
   */
  String upstreamId() {
    return upstreamId;
  }

  /**
   * Returns when the request was sent.
   *
   * @return monotonic time in milliseconds
   */
  long startedAtMs() {
    return startedAtMs;
  }

  /** Records that the upstream has begun to respond to a request that was sent later. */
  void recordOvertaking() {
    overtaking++;
  }

  /**
   * Returns whether the upstream probably leaves the request unanswered.
   *
   * @param nowMs monotonic time in milliseconds
   * @return whether the response is far later than usual, or later than usual and overtaken
   */
  boolean isSilent(long nowMs) {
    long factor = overtaking >= MIN_OVERTAKING ? OVERTAKEN_FACTOR : SILENCE_FACTOR;
    return nowMs - startedAtMs >= Math.max(MIN_SILENCE_MS, factor * usualMs);
  }
}
