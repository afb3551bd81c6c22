package org.ragwortpick.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Orders that an engine has accepted, with the check of their fencing tokens. */
final class EngineOrders {

  private final boolean checksFencing;
  private final Map<String, Long> executionCounts = new ConcurrentHashMap<>();
  private long highestToken;

  /**
   * Creates the empty record of an engine.
   *
   * @param checksFencing whether orders with a stale fencing token are refused
   */
  EngineOrders(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /**
   * Accepts an order unless its fencing token is stale. A repeated order id has no further effect.
   *
   * @param orderId id of the order
   * @param fencingToken fencing token of the sender
   * @return false if the token is stale and the engine checks tokens
   */
  synchronized boolean accept(String orderId, long fencingToken) {
    if (checksFencing && fencingToken < highestToken) {
      return false;
    }
    highestToken = Math.max(highestToken, fencingToken);
    executionCounts.merge(orderId, 1L, (count, ignored) -> count);
    return true;
  }

  /**
   * Returns how often each accepted order was executed.
   *
   * @return counts by order id
   */
  Map<String, Long> executionCounts() {
    return Map.copyOf(executionCounts);
  }
}
