package org.ragwortpick.bench;

import org.ragwortpick.config.Pipeline;

/**
 * Simulated request of a caller, with the work of each stage drawn in advance.
 *
 * @param id unique number of the request over all runs of a scenario
 * @param atMs arrival time since the start of the run in milliseconds
 * @param entryVm index of the entry VM that receives the request first
 * @param workspace workspace of the caller
 * @param pipeline the pipeline; a plain call is a pipeline of one stage
 * @param workMs work of each stage in milliseconds; the prompt work for a generating stage
 * @param tokens number of tokens to generate; 0 for a plain call
 * @param slowAttempts for each stage, a bit mask in which bit n is set if attempt n is slow
 * @param prefixHash hash of the prompt prefix; 0 for a plain call
 */
record Arrival(
    int id,
    double atMs,
    int entryVm,
    String workspace,
    Pipeline pipeline,
    double[] workMs,
    int tokens,
    int[] slowAttempts,
    long prefixHash) {

  private static final double SLOW_ATTEMPT_FACTOR = 8;

  /**
   * Returns the work of an attempt, which takes longer if the attempt is drawn as slow.
   *
   * @param stage index of the stage
   * @param attempt number of the attempt, from 0
   * @return work in milliseconds
   */
  double workMs(int stage, int attempt) {
    return workMs[stage] * ((slowAttempts[stage] >> attempt & 1) == 1 ? SLOW_ATTEMPT_FACTOR : 1);
  }

  /**
   * Tells whether this is a call of a plain service.
   *
   * @return true for a plain call
   */
  boolean isPlainCall() {
    return prefixHash == 0;
  }
}
