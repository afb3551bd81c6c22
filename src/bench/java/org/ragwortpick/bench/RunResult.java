package org.ragwortpick.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counters of one run. */
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
   * Creates counters.
   *
   * @param neverTwice services whose executions must not be repeated
   */
  RunResult(Set<String> neverTwice) {
    this.neverTwice = neverTwice;
  }

  /**
   * Records the end of a request.
   *
   * @param arrival the request
   * @param reportedOutcome how it ended; {@code in time} counts as attained
   */
  void recordEnd(Arrival arrival, String reportedOutcome) {
    // An answer of a booking that ran twice is not the outcome that the caller wanted.
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
   * Records an attempt.
   *
   * @param stage name of the stage
   * @param isHedge whether it is a hedge
   */
  void recordAttempt(String stage, boolean isHedge) {
    attemptsByStage.merge(stage, 1L, Long::sum);
    hedges += isHedge ? 1 : 0;
  }

  /**
   * Records generated tokens.
   *
   * @param generated tokens
   */
  void recordTokens(int generated) {
    generatedTokens += generated;
  }

  /**
   * Records that an upstream accepted a request.
   *
   * @param service service of the upstream
   * @param requestId number of the request
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

  /** Records work sent to a data centre later than the bound after its take-out. */
  void recordSentAfterTakeOutBound() {
    sentAfterTakeOutBound++;
  }

  /**
   * Records the load of a cold upstream.
   *
   * @param relativeLoad load as a share of what it bears
   */
  void recordColdLoad(double relativeLoad) {
    peakColdLoad = Math.max(peakColdLoad, relativeLoad);
  }

  /** Records a request beyond what a cold upstream bears. */
  void recordColdOverload() {
    coldOverloads++;
  }

  /**
   * Returns the overload of cold upstreams.
   *
   * @return requests beyond what they bear
   */
  long coldOverloads() {
    return coldOverloads;
  }

  /** Records that a cold upstream fell over. */
  void recordColdCrash() {
    coldCrashes++;
  }

  /**
   * Returns the attainment of all workspaces.
   *
   * @return share of requests that were answered in time
   */
  double attainment() {
    long total = totalAndAttainedByWorkspace.values().stream().mapToLong(counts -> counts[0]).sum();
    return (double) attainedRequests / Math.max(1, total);
  }

  /**
   * Returns the attainment of a workspace.
   *
   * @param workspace name of the workspace
   * @return share of its requests that were answered in time
   */
  double attainment(String workspace) {
    long[] counts = totalAndAttainedByWorkspace.getOrDefault(workspace, new long[] {1, 0});
    return (double) counts[1] / counts[0];
  }

  /**
   * Returns the cost of a stage.
   *
   * @param stage name of the stage
   * @return attempts for each answer
   */
  double attemptsPerAnswer(String stage) {
    long attained =
        stage.equals("call")
            ? attainedRequests - attainedPipelineRequests
            : attainedPipelineRequests;
    return (double) attemptsByStage.getOrDefault(stage, 0L) / Math.max(1, attained);
  }

  /**
   * Returns the hedges.
   *
   * @return hedges for each answer
   */
  double hedgesPerAnswer() {
    return (double) hedges / Math.max(1, attainedRequests);
  }

  /**
   * Returns the cost in tokens.
   *
   * @return generated tokens for each token of an answer in time
   */
  double tokensPerAnswerToken() {
    return (double) generatedTokens / Math.max(1, attainedTokens);
  }

  /**
   * Returns the repeated executions.
   *
   * @return executions of non-idempotent requests beyond the first
   */
  long repeatedExecutions() {
    return repeatedExecutions;
  }

  /**
   * Returns the late work.
   *
   * @return attempts sent to a data centre after the bound
   */
  long sentAfterTakeOutBound() {
    return sentAfterTakeOutBound;
  }

  /**
   * Returns the peak load of cold upstreams.
   *
   * @return load as a share of what they bear
   */
  double peakColdLoad() {
    return peakColdLoad;
  }

  /**
   * Describes the run in one line.
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
