package org.ragwortpick.policy;

import java.util.concurrent.CompletionStage;
import org.ragwortpick.config.Configuration;

/** Decides which requests may run and which wait or are refused. */
public interface AdmissionController {

  /**
   * Requests a permit to run. Requests wait in the order of their priority and, within a priority,
   * by fair shares and deadlines.
   *
   * @param request the request
   * @return stage that completes with true once the request may run, with false if it is refused
   */
  CompletionStage<Boolean> admit(AdmissionRequest request);

  /**
   * Releases the permit of an admitted request.
   *
   * @param workspace workspace of the request
   */
  void release(String workspace);

  /** Refuses the waiting requests whose deadline has passed. Called periodically. */
  void expire();

  /**
   * Applies a configuration and a capacity.
   *
   * @param configuration configuration in force
   * @param capacity number of requests that the local VM may run at once
   */
  void update(Configuration configuration, int capacity);
}
