package org.ragwortpick.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import org.ragwortpick.batch.StageTimes;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RouteStage;

/**
 * Stages of one request with the shortest time that each needs. Free of I/O.
 *
 * @param stages stages of the route
 * @param counts number of pieces of each stage; 0 leaves the stage out
 * @param workMs shortest time of each stage in milliseconds
 */
record StagePlan(List<RouteStage> stages, List<Integer> counts, List<Long> workMs) {

  /** Copies the lists. */
  StagePlan {
    stages = List.copyOf(stages);
    counts = List.copyOf(counts);
    workMs = List.copyOf(workMs);
  }

  /**
   * Plans the stages of a request.
   *
   * @param route the route
   * @param counts number of pieces of each stage
   * @param profileOf limits of a stage service
   * @return the plan
   */
  static StagePlan of(
      Route route, List<Integer> counts, Function<String, Optional<BatchProfile>> profileOf) {
    List<Long> workMs = new ArrayList<>();
    for (int stage = 0; stage < route.stages().size(); stage++) {
      int pieces = counts.get(stage);
      workMs.add(
          pieces == 0
              ? 0L
              : profileOf
                  .apply(route.stages().get(stage).service())
                  .map(profile -> (long) StageTimes.callMs(profile, pieces))
                  .orElse(0L));
    }
    return new StagePlan(route.stages(), counts, workMs);
  }

  /**
   * Tells whether a request has any stage to run.
   *
   * @return whether a stage has pieces
   */
  boolean hasWork() {
    return counts.stream().anyMatch(count -> count > 0);
  }

  /**
   * Returns how many stages need the results of a stage.
   *
   * @param stage position of the stage
   * @return number of stages that run and follow it
   */
  long followers(int stage) {
    return IntStream.range(stage + 1, stages.size())
        .filter(next -> counts.get(next) > 0 && stages.get(next).after().contains(stage))
        .count();
  }

  /**
   * Returns the time of the stages that follow a stage.
   *
   * @param stage position of the stage
   * @param waitOf expected wait in the queue of a service in milliseconds
   * @return time in milliseconds of the longest chain behind the stage
   */
  long followingMs(int stage, ToLongFunction<String> waitOf) {
    long longest = 0;
    for (int next = stage + 1; next < stages.size(); next++) {
      if (stages.get(next).after().contains(stage)) {
        long nextMs = workMs.get(next) + waitOf.applyAsLong(stages.get(next).service());
        longest = Math.max(longest, nextMs + followingMs(next, waitOf));
      }
    }
    return longest;
  }
}
