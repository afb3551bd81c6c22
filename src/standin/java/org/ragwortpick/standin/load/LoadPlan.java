package org.ragwortpick.standin.load;

import java.util.List;

/**
 * Requests to send.
 *
 * @param requestsPerSecond rate of arrivals
 * @param durationMs time during which requests arrive, in milliseconds
 * @param deadlineMs deadline of each request in milliseconds
 * @param pipelines pipelines in turn
 * @param services services of non-idempotent calls in turn; empty for none
 * @param workspaces workspaces in turn
 * @param callEvery one of this many requests is a non-idempotent call
 * @param maxTokens tokens of each generated answer
 */
public record LoadPlan(
    int requestsPerSecond,
    long durationMs,
    long deadlineMs,
    List<String> pipelines,
    List<String> services,
    List<String> workspaces,
    int callEvery,
    int maxTokens) {

  /** Copies the lists. */
  public LoadPlan {
    pipelines = List.copyOf(pipelines);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /**
   * Returns the number of requests.
   *
   * @return number of requests
   */
  int requests() {
    return (int) (requestsPerSecond * durationMs / 1_000);
  }
}
