package org.ragwortpick.policy;

import java.util.concurrent.CompletionStage;
import org.ragwortpick.config.Configuration;

/** Decides which requests of which workspaces may run. */
public interface AdmissionController {

  /**
   * Asks for a place. Requests wait in the order of the rules and, within a rank, of fair shares
   * and deadlines.
   *
   * @param request the request
   * @return true once the request may run, false if it is refused
   */
  CompletionStage<Boolean> admit(AdmissionRequest request);

  /**
   * Gives back the place of an admitted request.
   *
   * @param workspace workspace of the request
   */
  void release(String workspace);

  /** Refuses the waiting requests whose deadline has passed. Called periodically. */
  void expire();

  /**
   * Takes a new configuration and the number of requests that the known upstreams can run.
   *
   * @param configuration configuration in force
   * @param capacity number of requests that the local VM may run at once
   */
  void update(Configuration configuration, int capacity);
}
