package org.ragwortpick.bench;

import org.ragwortpick.policy.AttemptResult;

/** Request at one upstream, with its remaining work. */
final class UpstreamRequest {

  /** Receives the progress and the end of the request. */
  interface Listener {
    /** Called when the upstream sends the first byte. */
    void onFirstByte();

    /**
     * Called once when the request ended.
     *
     * @param result how the request ended
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
   * @param requestId id of the caller's request
   * @param promptMs work until the first byte in milliseconds
   * @param tokens number of tokens to generate
   * @param prefixHash hash of the prompt prefix; 0 for none
   * @param listener receives the progress and the end
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
   * Returns the id of the caller's request.
   *
   * @return the id
   */
  int requestId() {
    return requestId;
  }

  /**
   * Returns the hash of the prompt prefix.
   *
   * @return the hash; 0 for none
   */
  long prefixHash() {
    return prefixHash;
  }

  /**
   * Returns the listener of this request.
   *
   * @return the listener
   */
  Listener listener() {
    return listener;
  }

  /**
   * Reduces the prompt work of a request whose prefix is cached.
   *
   * @param remainingShare share of the prompt work that remains
   */
  void reducePromptWork(double remainingShare) {
    remainingPromptMs = promptMs * remainingShare;
  }

  /**
   * Returns the remaining work of the current phase, prompt or decoding.
   *
   * @return work in milliseconds
   */
  double remainingPhaseMs() {
    return remainingPromptMs > 0 ? remainingPromptMs : remainingDecodeMs;
  }

  /**
   * Reduces the remaining work of the current phase.
   *
   * @param doneMs work that was done in milliseconds
   * @return true if this completed the prompt phase and produced the first byte
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
   * @return true if no work remains
   */
  boolean isDone() {
    return remainingPromptMs == 0 && remainingDecodeMs < UpstreamModel.WORK_TOLERANCE_MS;
  }

  /**
   * Returns the number of tokens generated so far.
   *
   * @return number of tokens
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
   * Marks the request as ended.
   *
   * @return false if the request was marked before
   */
  boolean markEnded() {
    boolean isFirstEnd = !ended;
    ended = true;
    return isFirstEnd;
  }
}
