package org.ragwortpick.batch;

import java.util.List;

/**
 * All pieces of one stage of one request.
 *
 * @param service service that produces the pieces
 * @param requestId id of the request, as the caller sent it
 * @param stage position of the stage in the route
 * @param pieceCount number of pieces
 * @param key key that the caller states for the pieces of stages without inputs, passed to the
 *     upstream unchanged; empty for other stages
 * @param inputs results of earlier stages, in order
 * @param resultBytes approximate size of one result in bytes
 * @param remainingMs time until the deadline of the pieces in milliseconds
 * @param targetRemainingMs time in milliseconds within which the pieces are needed so that the
 *     response meets the target latency; negative if it has passed
 * @param priority priority of the request, 0 is the most urgent
 * @param dataCentre data centre in which the work causes the least traffic between data centres;
 *     empty if there is no preference
 */
public record StageWork(
    String service,
    String requestId,
    int stage,
    int pieceCount,
    String key,
    List<StageInput> inputs,
    long resultBytes,
    long remainingMs,
    long targetRemainingMs,
    int priority,
    String dataCentre) {

  /** Copies the inputs. */
  public StageWork {
    inputs = List.copyOf(inputs);
  }
}
