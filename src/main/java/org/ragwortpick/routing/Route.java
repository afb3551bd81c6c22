package org.ragwortpick.routing;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Rules for the requests of one host whose path begins with a prefix.
 *
 * @param name unique name
 * @param host host name in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind whether requests may be repeated
 * @param timeoutMs maximum time in milliseconds for which a caller waits
 * @param targetLatencyMs target for the time to the response in milliseconds
 * @param priority priority; 0 is the most urgent
 * @param services weighted services; at least one
 * @param maxAttempts maximum number of upstreams to which one request of a caller is sent
 * @param stages stages that run before the request itself
 * @param open whether callers need no workspace key
 * @param resumable whether an interrupted stream may be resumed at another upstream
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    List<RouteStage> stages,
    boolean open,
    boolean resumable) {

  /** Copies the lists. */
  public Route {
    services = services == null ? List.of() : List.copyOf(services);
    stages = stages == null ? List.of() : List.copyOf(stages);
  }

  /**
   * Tells whether a request may run more than once.
   *
   * @return true if it may be sent again after an upstream began to run it
   */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || isResumableStream();
  }

  /**
   * Tells whether a caller may take up a broken stream of this route with another request.
   *
   * @return true for streaming routes that are resumable
   */
  public boolean isResumableStream() {
    return kind == RequestKind.STREAMING && resumable;
  }

  /**
   * Lists the stages whose results are the inputs of the request itself.
   *
   * @return positions of the stages whose results no other stage uses
   */
  public List<Integer> finalStages() {
    List<Integer> inputStages = stages.stream().flatMap(stage -> stage.after().stream()).toList();
    return IntStream.range(0, stages.size())
        .filter(stage -> !inputStages.contains(stage))
        .boxed()
        .collect(Collectors.toUnmodifiableList());
  }
}
