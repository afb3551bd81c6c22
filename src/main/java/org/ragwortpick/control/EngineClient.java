package org.ragwortpick.control;

import java.util.concurrent.CompletionStage;
import org.ragwortpick.common.HostPort;

/** Sends orders to engines. */
public interface EngineClient {

  /**
   * Sends an order once.
   *
   * @param address address of the engine
   * @param order the order
   * @param fencingToken term of the leader that sends the order
   * @param timeoutMs time to wait in milliseconds
   * @return the outcome; never fails
   */
  CompletionStage<OrderOutcome> send(
      HostPort address, EngineOrder order, long fencingToken, long timeoutMs);
}
