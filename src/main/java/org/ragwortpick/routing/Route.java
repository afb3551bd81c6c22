package org.ragwortpick.routing;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Requests of one host whose path begins with one prefix.
 *
 * @param name unique name
 * @param host host name in lower case
 * @param pathPrefix beginning of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time in milliseconds for which a caller waits
 * @param targetLatencyMs time in milliseconds within which an answer is worth most
 * @param priority rank, 0 first
 * @param services services by weight; at least one
 * @param maxAttempts most upstreams to which one attempt of a caller is sent
 * @param stages stages that run before the request
 * @param open whether no workspace key is needed
 * @param resumable whether a broken stream may go on at another upstream
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
   * @return true if it may be sent again after its first run began
   */
  public boolean repeatable() {
    return kind == RequestKind.IDEMPOTENT || kind == RequestKind.STREAMING && resumable;
  }

  /**
   * Lists the stages whose results go to the upstream that runs the request.
   *
   * @return positions of the stages that no other stage follows
   */
  public List<Integer> lastStages() {
    List<Integer> followed = stages.stream().flatMap(stage -> stage.after().stream()).toList();
    return IntStream.range(0, stages.size())
        .filter(stage -> !followed.contains(stage))
        .boxed()
        .collect(Collectors.toUnmodifiableList());
  }
}
