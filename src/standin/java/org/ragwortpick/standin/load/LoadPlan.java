package org.ragwortpick.standin.load;

import java.util.List;

/**
 * Requests of a load run. Pipelines, services and workspaces are used in turn.
 *
 * @param requestsPerSecond request rate
 * @param durationMs time during which requests are sent, in milliseconds
 * @param deadlineMs deadline of each request in milliseconds
 * @param pipelines names of the pipelines
 * @param services names of the services of non-idempotent calls; empty for none
 * @param workspaces names of the workspaces
 * @param requestsPerCall one of this many requests is a non-idempotent call
 * @param maxTokens number of tokens of each generated response
 * @param requestsPerHarmful one of this many requests has a prompt that ends stand-ins with the
 *     fault {@code harmful}; 0 for none
 */
public record LoadPlan(
    int requestsPerSecond,
    long durationMs,
    long deadlineMs,
    List<String> pipelines,
    List<String> services,
    List<String> workspaces,
    int requestsPerCall,
    int maxTokens,
    int requestsPerHarmful) {

  /** Copies the lists. */
  public LoadPlan {
    pipelines = List.copyOf(pipelines);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /**
   * Returns whether a request has a harmful prompt.
   *
   * @param index index of the request
   * @return whether its prompt ends upstreams
   */
  boolean isHarmful(int index) {
    return requestsPerHarmful > 0 && index % requestsPerHarmful == requestsPerHarmful - 1;
  }

  /**
   * Returns the number of requests of the whole run.
   *
   * @return number of requests
   */
  int requestCount() {
    return (int) (requestsPerSecond * durationMs / 1_000);
  }
}
