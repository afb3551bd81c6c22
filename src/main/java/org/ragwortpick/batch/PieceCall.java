package org.ragwortpick.batch;

import java.util.List;

/**
 * One piece as an upstream is asked for it.
 *
 * @param requestId id of the request, as the caller sent it
 * @param stage position of the stage in the route
 * @param piece number of the piece, from 0
 * @param remainingMs time in milliseconds after which the piece is not needed
 * @param key key of the pieces of a stage without inputs; empty for other stages
 * @param inputs handles of the inputs, in order
 */
public record PieceCall(
    String requestId, int stage, int piece, long remainingMs, String key, List<String> inputs) {

  /** Copies the inputs. */
  public PieceCall {
    inputs = List.copyOf(inputs);
  }
}
