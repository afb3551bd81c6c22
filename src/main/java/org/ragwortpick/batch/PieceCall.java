package org.ragwortpick.batch;

import java.util.List;

/**
 * One piece in a call to an upstream.
 *
 * @param requestId id of the request, as the caller sent it
 * @param stage position of the stage in the route
 * @param piece index of the piece, from 0
 * @param remainingMs time until the deadline of the piece in milliseconds
 * @param key key that the caller states for the pieces of stages without inputs; empty for other
 *     stages
 * @param inputs handles of the inputs, in order
 */
public record PieceCall(
    String requestId, int stage, int piece, long remainingMs, String key, List<String> inputs) {

  /** Copies the inputs. */
  public PieceCall {
    inputs = List.copyOf(inputs);
  }
}
