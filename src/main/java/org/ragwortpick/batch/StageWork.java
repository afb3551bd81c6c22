package org.ragwortpick.batch;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.WorkOwner;

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
 * @param resumed whether the request takes up a stream that has begun; it has no target latency
 * @param path what remains of the request after the stage; empty unless the submitting VM controls
 *     overload
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
    String dataCentre,
    boolean resumed,
    Optional<RequestPath> path) {

  /** Copies the inputs. */
  public StageWork {
    inputs = List.copyOf(inputs);
  }

  /**
   * Creates the work of a new request of a VM that does not control overload.
   *
   * @param service service that produces the pieces
   * @param requestId id of the request
   * @param stage position of the stage in the route
   * @param pieceCount number of pieces
   * @param key key of the pieces of stages without inputs
   * @param inputs results of earlier stages, in order
   * @param resultBytes approximate size of one result in bytes
   * @param remainingMs time until the deadline of the pieces in milliseconds
   * @param targetRemainingMs time in milliseconds within which the pieces are needed
   * @param priority priority of the request, 0 is the most urgent
   * @param dataCentre preferred data centre; empty if there is no preference
   */
  public StageWork(
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
    this(
        service,
        requestId,
        stage,
        pieceCount,
        key,
        inputs,
        resultBytes,
        remainingMs,
        targetRemainingMs,
        priority,
        dataCentre,
        false,
        Optional.empty());
  }

  /**
   * Creates a copy for a submission at a later moment.
   *
   * @param elapsedMs time that has passed in milliseconds
   * @return the work with less time left
   */
  StageWork after(long elapsedMs) {
    return new StageWork(
        service,
        requestId,
        stage,
        pieceCount,
        key,
        inputs,
        resultBytes,
        remainingMs - elapsedMs,
        targetRemainingMs - elapsedMs,
        priority,
        dataCentre,
        resumed,
        path.map(remaining -> remaining.after(elapsedMs)));
  }

  /**
   * Returns the owner of the work.
   *
   * @return priority and workspace
   */
  WorkOwner owner() {
    return new WorkOwner(priority, path.map(RequestPath::workspace).orElse(""));
  }

  /**
   * Returns whether nothing was executed for the request before this stage.
   *
   * @return true for a stage without inputs
   */
  boolean isNew() {
    return inputs.isEmpty();
  }
}
