package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counters of all runs of a scenario with one set of decisions. */
final class RunResult {

  private final Map<String, long[]> totalAndAttainedByWorkspace = new TreeMap<>();
  private final Map<String, Long> attemptsByStage = new TreeMap<>();
  private final Map<String, Long> outcomes = new TreeMap<>();
  private final Map<String, Set<Integer>> executedRequestIdsByService = new HashMap<>();
  private final Set<String> neverTwice;
  private final Set<Integer> repeatedRequestIds = new HashSet<>();
  private long attainedRequests;
  private long attainedPipelineRequests;
  private long hedges;
  private long generatedTokens;
  private long attainedTokens;
  private long repeatedExecutions;
  private long sentAfterTakeOutBound;
  private long coldCrashes;
  private long coldOverloads;
  private double peakColdLoad;

  /**
   * Creates counters that start at zero.
   *
   * @param neverTwice services that must not run a request twice
   */
  RunResult(Set<String> neverTwice) {
    this.neverTwice = neverTwice;
  }

  /**
   * Records the end of a request.
   *
   * @param arrival the request
   * @param reportedOutcome outcome of the request; only {@code in time} counts as attained
   */
  void recordEnd(Arrival arrival, String reportedOutcome) {
    // A non-idempotent request that ran twice counts as failed even if its response was in time.
    String outcome = repeatedRequestIds.contains(arrival.id()) ? "ran twice" : reportedOutcome;
    long[] counts =
        totalAndAttainedByWorkspace.computeIfAbsent(arrival.workspace(), name -> new long[2]);
    counts[0]++;
    outcomes.merge((arrival.isPlainCall() ? "call " : "") + outcome, 1L, Long::sum);
    if (outcome.equals("in time")) {
      counts[1]++;
      attainedRequests++;
      attainedPipelineRequests += arrival.isPlainCall() ? 0 : 1;
      attainedTokens += arrival.tokens();
    }
  }

  /**
   * Records an attempt of a stage.
   *
   * @param stage name of the stage
   * @param isHedge whether the attempt is a hedge
   */
  void recordAttempt(String stage, boolean isHedge) {
    attemptsByStage.merge(stage, 1L, Long::sum);
    hedges += isHedge ? 1 : 0;
  }

  /**
   * Records the tokens that an upstream generated for a request, used or not.
   *
   * @param generated number of tokens
   */
  void recordTokens(int generated) {
    generatedTokens += generated;
  }

  /**
   * Records that an upstream runs a request.
   *
   * @param service service of the upstream
   * @param requestId id of the request
   */
  void recordExecution(String service, int requestId) {
    if (neverTwice.contains(service)
        && !executedRequestIdsByService
            .computeIfAbsent(service, name -> new HashSet<>())
            .add(requestId)) {
      repeatedExecutions++;
      repeatedRequestIds.add(requestId);
    }
  }

  /** Records an attempt sent to a data centre after the bound since its take-out has passed. */
  void recordSentAfterTakeOutBound() {
    sentAfterTakeOutBound++;
  }

  /**
   * Records the load of a cold upstream.
   *
   * @param relativeLoad load as a fraction of the capacity of the upstream
   */
  void recordColdLoad(double relativeLoad) {
    peakColdLoad = Math.max(peakColdLoad, relativeLoad);
  }

  /** Records a request beyond the capacity of a cold upstream. */
  void recordColdOverload() {
    coldOverloads++;
  }

  /**
   * Returns the requests that overloaded cold upstreams.
   *
   * @return number of requests beyond the capacity of a cold upstream
   */
  long coldOverloads() {
    return coldOverloads;
  }

  /** Records that a cold upstream crashed because of overload. */
  void recordColdCrash() {
    coldCrashes++;
  }

  /**
   * Returns the share of attained requests over all workspaces.
   *
   * @return share of requests that ended in time, from 0 to 1
   */
  double attainment() {
    long total = totalAndAttainedByWorkspace.values().stream().mapToLong(counts -> counts[0]).sum();
    return (double) attainedRequests / Math.max(1, total);
  }

  /**
   * Returns the share of attained requests of a workspace.
   *
   * @param workspace name of the workspace
   * @return share of its requests that ended in time, from 0 to 1
   */
  double attainment(String workspace) {
    long[] counts = totalAndAttainedByWorkspace.getOrDefault(workspace, new long[] {1, 0});
    return (double) counts[1] / counts[0];
  }

  /**
   * Returns the number of attempts that a stage needs for each attained request.
   *
   * @param stage name of the stage
   * @return attempts per attained request
   */
  double attemptsPerAnswer(String stage) {
    long attained =
        stage.equals("call")
            ? attainedRequests - attainedPipelineRequests
            : attainedPipelineRequests;
    return (double) attemptsByStage.getOrDefault(stage, 0L) / Math.max(1, attained);
  }

  /**
   * Returns the number of hedges for each attained request.
   *
   * @return hedges per attained request
   */
  double hedgesPerAnswer() {
    return (double) hedges / Math.max(1, attainedRequests);
  }

  /**
   * Returns the number of generated tokens for each token of an attained request.
   *
   * @return generated tokens per attained token
   */
  double tokensPerAnswerToken() {
    return (double) generatedTokens / Math.max(1, attainedTokens);
  }

  /**
   * Returns the number of repeated executions of non-idempotent requests.
   *
   * @return executions beyond the first of each request
   */
  long repeatedExecutions() {
    return repeatedExecutions;
  }

  /**
   * Returns the attempts sent to a data centre after its take-out bound.
   *
   * @return number of attempts
   */
  long sentAfterTakeOutBound() {
    return sentAfterTakeOutBound;
  }

  /**
   * Returns the peak load of a cold upstream relative to its capacity.
   *
   * @return load as a fraction of the capacity
   */
  double peakColdLoad() {
    return peakColdLoad;
  }

  /**
   * Describes the outcomes in one line.
   *
   * @return outcome counts
   */
  String describe() {
    return outcomes
        + " crashes="
        + coldCrashes
        + " attempts="
        + attemptsByStage
        + " hedges="
        + hedges;
  }
}
