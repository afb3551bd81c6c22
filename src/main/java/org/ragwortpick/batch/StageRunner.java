package org.ragwortpick.batch;

import java.util.function.Consumer;

/** Runs the stages of requests. Callbacks run on the thread to which the requests are confined. */
public interface StageRunner {

  /**
   * Submits a stage.
   *
   * @param work the pieces
   * @param whenEnded receives the outcome exactly once, unless the ticket is abandoned first
   * @return the ticket, to be abandoned when the results are no longer needed
   */
  StageTicket submit(StageWork work, Consumer<SubmissionEnd> whenEnded);

  /**
   * Returns the expected wait of a new piece in the queue of a service.
   *
   * @param service name of the service
   * @param priority priority of the request, 0 is the most urgent
   * @return time in milliseconds; 0 if no recent wait is recorded
   */
  long expectedWaitMs(String service, int priority);
}
