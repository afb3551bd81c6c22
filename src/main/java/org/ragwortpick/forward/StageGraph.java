package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import org.ragwortpick.batch.StageTimes;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RouteStage;

/**
 * Stages of one request, the order in which they depend on each other, and the minimum duration of
 * each. Free of I/O.
 *
 * @param stages stages of the route
 * @param pieceCounts number of pieces of each stage; a stage with 0 is skipped
 * @param minDurationsMs minimum duration of each stage in milliseconds
 */
record StageGraph(List<RouteStage> stages, List<Integer> pieceCounts, List<Long> minDurationsMs) {

  /** Copies the lists. */
  StageGraph {
    stages = List.copyOf(stages);
    pieceCounts = List.copyOf(pieceCounts);
    minDurationsMs = List.copyOf(minDurationsMs);
  }

  /**
   * Creates the graph of a request.
   *
   * @param route the route
   * @param pieceCounts number of pieces of each stage
   * @param batchProfileOf returns the batch profile of a stage service
   * @return the graph
   */
  static StageGraph of(
      Route route,
      List<Integer> pieceCounts,
      Function<String, Optional<BatchProfile>> batchProfileOf) {
    List<Long> minDurationsMs = new ArrayList<>();
    for (int stage = 0; stage < route.stages().size(); stage++) {
      int pieces = pieceCounts.get(stage);
      minDurationsMs.add(
          pieces == 0
              ? 0L
              : batchProfileOf
                  .apply(route.stages().get(stage).service())
                  .map(profile -> (long) StageTimes.callMs(profile, pieces))
                  .orElse(0L));
    }
    return new StageGraph(route.stages(), pieceCounts, minDurationsMs);
  }

  /**
   * Returns whether the request has a stage to run.
   *
   * @return whether a stage has pieces
   */
  boolean hasWork() {
    return pieceCounts.stream().anyMatch(count -> count > 0);
  }

  /**
   * Returns the minimum duration of all stages.
   *
   * @return duration of the longest chain of stages in milliseconds
   */
  long minTotalMs() {
    long longestMs = 0;
    for (int first = 0; first < stages.size(); first++) {
      longestMs = Math.max(longestMs, minDurationsMs.get(first) + followingMs(first, wait -> 0));
    }
    return longestMs;
  }

  /**
   * Returns the number of stages that need the results of a stage.
   *
   * @param stage position of the stage
   * @return number of stages that run and follow it
   */
  long followerCount(int stage) {
    return IntStream.range(stage + 1, stages.size())
        .filter(next -> pieceCounts.get(next) > 0 && stages.get(next).after().contains(stage))
        .count();
  }

  /**
   * Lists the stages that need the results of a stage, directly or through other stages.
   *
   * @param stage position of the stage
   * @return stages with pieces, in the order of the route
   */
  List<PathStage> following(int stage) {
    List<PathStage> following = new ArrayList<>();
    Set<Integer> reached = new HashSet<>(Set.of(stage));
    for (int next = stage + 1; next < stages.size(); next++) {
      RouteStage routeStage = stages.get(next);
      // A stage without pieces ends at once, so what follows only that one waits for nothing.
      if (pieceCounts.get(next) > 0 && routeStage.after().stream().anyMatch(reached::contains)) {
        reached.add(next);
        following.add(
            new PathStage(
                next,
                routeStage.service(),
                pieceCounts.get(next),
                minDurationsMs.get(next),
                routeStage.after()));
      }
    }
    return following;
  }

  /**
   * Returns the duration of the longest chain of stages that follow a stage.
   *
   * @param stage position of the stage
   * @param waitMsOf returns the expected wait in the queue of a service in milliseconds
   * @return time in milliseconds
   */
  long followingMs(int stage, ToLongFunction<String> waitMsOf) {
    long longestMs = 0;
    for (int next = stage + 1; next < stages.size(); next++) {
      if (stages.get(next).after().contains(stage)) {
        long nextMs = minDurationsMs.get(next) + waitMsOf.applyAsLong(stages.get(next).service());
        longestMs = Math.max(longestMs, nextMs + followingMs(next, waitMsOf));
      }
    }
    return longestMs;
  }
}
