package org.ragwortpick.bench;

import org.ragwortpick.policy.AttemptResult;

/** One request at one upstream. */
final class Work {

  /** Receives what happens to the request. */
  interface Listener {
    /** The first byte left the upstream. */
    void firstByte();

    /**
     * The request ended.
     *
     * @param result how it ended
     */
    void ended(AttemptResult result);
  }

  private final int requestId;
  private final double promptMs;
  private final int tokens;
  private final long prefixHash;
  private final Listener listener;
  private double promptLeftMs;
  private double decodeLeftMs;
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
  Work(int requestId, double promptMs, int tokens, long prefixHash, Listener listener) {
    this.requestId = requestId;
    this.promptMs = promptMs;
    this.tokens = tokens;
    this.prefixHash = prefixHash;
    this.listener = listener;
    this.promptLeftMs = promptMs;
    this.decodeLeftMs = tokens * UpstreamModel.TOKEN_MS;
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
   * @param share share of the work that remains
   */
  void reducePrompt(double share) {
    promptLeftMs = promptMs * share;
  }

  /**
   * Returns the work until the next byte that matters.
   *
   * @return work in milliseconds
   */
  double leftMs() {
    return promptLeftMs > 0 ? promptLeftMs : decodeLeftMs;
  }

  /**
   * Does some work.
   *
   * @param doneMs work in milliseconds
   * @return true if the first byte was produced by it
   */
  boolean advance(double doneMs) {
    if (promptLeftMs > 0) {
      promptLeftMs -= doneMs;
      if (promptLeftMs < UpstreamModel.ROUNDING_MS) {
        promptLeftMs = 0;
        return true;
      }
      return false;
    }
    decodeLeftMs = Math.max(0, decodeLeftMs - doneMs);
    return false;
  }

  /**
   * Tells whether all work is done.
   *
   * @return true at the end
   */
  boolean isDone() {
    return promptLeftMs == 0 && decodeLeftMs < UpstreamModel.ROUNDING_MS;
  }

  /**
   * Counts the generated tokens.
   *
   * @return tokens so far
   */
  int generatedTokens() {
    if (promptLeftMs > 0) {
      return 0;
    }
    double left = (decodeLeftMs - UpstreamModel.ROUNDING_MS) / UpstreamModel.TOKEN_MS;
    return tokens - (int) Math.max(0, Math.ceil(left));
  }

  /**
   * Marks the end.
   *
   * @return false if it had ended before
   */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }
}
