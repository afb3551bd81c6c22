package org.ragwortpick.control;

import java.util.concurrent.CompletionStage;
import org.ragwortpick.common.HostPort;

/** Sends orders to engines. */
public interface EngineClient {

  /**
   * Sends an order in a single attempt.
   *
   * @param address address of the engine
   * @param order the order
   * @param fencingToken term of the leader that sends the order
   * @param timeoutMs timeout in milliseconds
   * @return the outcome; the stage never completes exceptionally
   */
  CompletionStage<OrderOutcome> send(
      HostPort address, EngineOrder order, long fencingToken, long timeoutMs);
}
