package org.ragwortpick.bench;

import org.ragwortpick.config.Pipeline;

/**
 * Request of a caller, with the work that each stage will take.
 *
 * @param id number of the request
 * @param atMs time of arrival since the start in milliseconds
 * @param entryVm entry VM that the caller uses
 * @param workspace workspace of the caller
 * @param pipeline the pipeline; a plain call is a pipeline of one stage
 * @param workMs work of each stage in milliseconds; prompt work for a generating stage
 * @param tokens tokens of the answer; 0 for a plain call
 * @param slowAttempts for each stage, bit n is set if attempt n meets a pause of the upstream
 * @param prefixHash prefix of the prompt; 0 for a plain call
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
   * Returns the work of an attempt.
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
