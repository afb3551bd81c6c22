package org.ragwortpick.bench;

import org.ragwortpick.policy.AttemptResult;

/** One request at one upstream. */
final class UpstreamRequest {

  /** Receives what happens to the request. */
  interface Listener {
    /** The first byte left the upstream. */
    void onFirstByte();

    /**
     * The request ended.
     *
     * @param result how it ended
     */
    void onEnd(AttemptResult result);
  }

  private final int requestId;
  private final double promptMs;
  private final int tokens;
  private final long prefixHash;
  private final Listener listener;
  private double remainingPromptMs;
  private double remainingDecodeMs;
  private boolean ended;

  /**
   * Creates a request.
   *
   * @param requestId number of the caller's request
   * @param promptMs work until the first byte
   * @param tokens tokens to generate
   * @param prefixHash prefix of the prompt; 0 for none
   * @param listener receiver of the outcome
   */
  UpstreamRequest(int requestId, double promptMs, int tokens, long prefixHash, Listener listener) {
    this.requestId = requestId;
    this.promptMs = promptMs;
    this.tokens = tokens;
    this.prefixHash = prefixHash;
    this.listener = listener;
    this.remainingPromptMs = promptMs;
    this.remainingDecodeMs = tokens * UpstreamModel.TOKEN_MS;
  }

  /**
   * Returns the number of the caller's request.
   *
   * @return the number
   */
  int requestId() {
    return requestId;
  }

  /**
   * Returns the prefix.
   *
   * @return prefix of the prompt; 0 for none
   */
  long prefixHash() {
    return prefixHash;
  }

  /**
   * Returns the receiver.
   *
   * @return receiver of the outcome
   */
  Listener listener() {
    return listener;
  }

  /**
   * Reduces the prompt work because its prefix is cached.
   *
   * @param remainingShare share of the work that remains
   */
  void reducePromptWork(double remainingShare) {
    remainingPromptMs = promptMs * remainingShare;
  }

  /**
   * Returns the work until the next byte that matters.
   *
   * @return work in milliseconds
   */
  double remainingPhaseMs() {
    return remainingPromptMs > 0 ? remainingPromptMs : remainingDecodeMs;
  }

  /**
   * Does some work.
   *
   * @param doneMs work in milliseconds
   * @return true if the first byte was produced by it
   */
  boolean advance(double doneMs) {
    if (remainingPromptMs > 0) {
      remainingPromptMs -= doneMs;
      if (remainingPromptMs < UpstreamModel.WORK_TOLERANCE_MS) {
        remainingPromptMs = 0;
        return true;
      }
      return false;
    }
    remainingDecodeMs = Math.max(0, remainingDecodeMs - doneMs);
    return false;
  }

  /**
   * Tells whether all work is done.
   *
   * @return true at the end
   */
  boolean isDone() {
    return remainingPromptMs == 0 && remainingDecodeMs < UpstreamModel.WORK_TOLERANCE_MS;
  }

  /**
   * Counts the generated tokens.
   *
   * @return tokens so far
   */
  int generatedTokens() {
    if (remainingPromptMs > 0) {
      return 0;
    }
    double remainingTokens =
        (remainingDecodeMs - UpstreamModel.WORK_TOLERANCE_MS) / UpstreamModel.TOKEN_MS;
    return tokens - (int) Math.max(0, Math.ceil(remainingTokens));
  }

  /**
   * Marks the end.
   *
   * @return false if it had ended before
   */
  boolean markEnded() {
    boolean isFirstEnd = !ended;
    ended = true;
    return isFirstEnd;
  }
}
