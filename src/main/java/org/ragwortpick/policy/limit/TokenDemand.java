package org.ragwortpick.policy.limit;

/**
 * Tokens that one request holds in the memory of its upstream.
 *
 * @param tokens tokens of the prompt and maximum of output tokens; 0 if unknown
 * @param sharedTokens tokens of the prompt prefix that other requests share
 * @param prefixHash hash of that prefix; 0 for none
 */
public record TokenDemand(long tokens, long sharedTokens, long prefixHash) {

  /** Demand of a request that states no tokens. */
  public static final TokenDemand UNKNOWN = new TokenDemand(0, 0, 0);

  /** Bounds the shared tokens by all tokens. */
  public TokenDemand {
    sharedTokens = prefixHash == 0 ? 0 : Math.min(sharedTokens, tokens);
  }

  /**
   * Returns whether the request states its tokens.
   *
   * @return false if the demand is estimated by other requests
   */
  boolean isKnown() {
    return tokens > 0;
  }

  /**
   * Returns the tokens that no other request shares.
   *
   * @return number of tokens
   */
  long privateTokens() {
    return tokens - sharedTokens;
  }
}
