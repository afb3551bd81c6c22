package org.ragwortpick.batch;

import org.jboss.logging.Logger;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.admission.RequestPath;

/**
 * Logs one line for each stage that a collector refuses.
 *
 * @param service name of the service
 * @param queue queue of the collector
 */
record StageRefusalLog(String service, PieceQueue queue) {

  private static final Logger LOG = Logger.getLogger(StageRefusalLog.class);

  /**
   * Writes the line.
   *
   * @param work work that is refused
   * @param refusal the refusal
   * @param when whether the work was refused on arrival or in the queue
   */
  void write(StageWork work, SubmissionEnd.Failed refusal, String when) {
    DecisionLine.of("stage refused")
        .with("request", work.requestId())
        .with("stage", work.stage())
        .with("service", service)
        .with("priority", work.priority())
        .with("workspace", work.owner().workspace())
        .with("when", when)
        .with("cause", refusal.cause())
        .with("waitMs", refusal.waitMs())
        .with("targetRemainingMs", work.targetRemainingMs())
        .with(
            "objectiveRemainingMs", work.path().map(RequestPath::objectiveRemainingMs).orElse(-1L))
        .with("remainingMs", work.remainingMs())
        .with("waitingPieces", queue.size())
        .info(LOG);
  }
}
