package org.ragwortpick.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Orders that an engine took, with its fencing check. */
final class EngineOrders {

  private final boolean checksFencing;
  private final Map<String, Long> executed = new ConcurrentHashMap<>();
  private long highestToken;

  /**
   * Creates the orders of an engine.
   *
   * @param checksFencing whether an old fencing token is refused
   */
  EngineOrders(boolean checksFencing) {
    this.checksFencing = checksFencing;
  }

  /**
   * Takes an order. The same id has an effect once.
   *
   * @param orderId id of the order
   * @param fencingToken token of the sender
   * @return false if the token is old and the engine checks tokens
   */
  synchronized boolean take(String orderId, long fencingToken) {
    if (checksFencing && fencingToken < highestToken) {
      return false;
    }
    highestToken = Math.max(highestToken, fencingToken);
    executed.merge(orderId, 1L, (known, one) -> known);
    return true;
  }

  /**
   * Returns how often each order had an effect.
   *
   * @return counts by order id
   */
  Map<String, Long> executed() {
    return Map.copyOf(executed);
  }
}
