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
}
