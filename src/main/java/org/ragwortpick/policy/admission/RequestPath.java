package org.ragwortpick.policy.admission;

import java.util.List;

/**
 * What remains of a request after the stage that is submitted.
 *
 * @param workspace workspace of the caller; empty if the route is open
 * @param decideWithinMs time in which a refusal may be sent in milliseconds; 0 once it has passed
 * @param objectiveRemainingMs time until the latency objective of the response in milliseconds;
 *     negative if it has passed
 * @param responseMs usual time from the last stage to the response in milliseconds
 * @param following stages that are submitted later, in the order of the route
 */
public record RequestPath(
    String workspace,
    long decideWithinMs,
    long objectiveRemainingMs,
    long responseMs,
    List<PathStage> following) {

  /** Copies the list. */
  public RequestPath {
    following = List.copyOf(following);
  }

  /**
   * Creates a copy for a submission at a later moment.
   *
   * @param elapsedMs time that has passed in milliseconds
   * @return the path with less time left
   */
  public RequestPath after(long elapsedMs) {
    return new RequestPath(
        workspace,
        Math.max(0, decideWithinMs - elapsedMs),
        objectiveRemainingMs - elapsedMs,
        responseMs,
        following);
  }
}
