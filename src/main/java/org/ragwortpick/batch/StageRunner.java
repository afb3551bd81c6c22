package org.ragwortpick.batch;

import java.util.function.Consumer;

/** Runs stages. Callbacks run on the thread of the caller's requests. */
public interface StageRunner {

  /**
   * Runs a stage.
   *
   * @param work the pieces
   * @param whenEnded receives the end, once, unless the ticket is abandoned before
   * @return the ticket; to be abandoned when the results are not needed any more
   */
  StageTicket submit(StageWork work, Consumer<SubmissionEnd> whenEnded);

  /**
   * Returns how long a piece would wait in the queue of a service.
   *
   * @param service name of the service
   * @param priority rank of the request, 0 first
   * @return time in milliseconds as of the last reply; 0 if none is recent
   */
  long expectedWaitMs(String service, int priority);
}
