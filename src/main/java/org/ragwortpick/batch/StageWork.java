package org.ragwortpick.batch;

import java.util.List;

/**
 * All pieces of one stage of one request.
 *
 * @param service service that does the work
 * @param requestId id of the request, as the caller sent it
 * @param stage position of the stage in the route
 * @param pieceCount number of pieces
 * @param key key of the pieces of a stage without inputs; empty for other stages
 * @param inputs results of earlier stages, in order
 * @param resultBytes approximate size of one result in bytes
 * @param remainingMs time in milliseconds after which the pieces are not needed
 * @param targetRemainingMs time in milliseconds within which they are needed for an answer within
 *     the target latency; negative if it has passed
 * @param priority rank of the request, 0 first
 * @param dataCentre data centre in which the work causes least traffic between data centres; empty
 *     for none
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
