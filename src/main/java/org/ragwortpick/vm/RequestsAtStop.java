package org.ragwortpick.vm;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.forward.RunsInFlight;

/** Ends the requests that are still in flight at the end of a graceful stop. */
final class RequestsAtStop {

  private static final Logger LOG = Logger.getLogger(RequestsAtStop.class);

  /** Time in which the responses to requests in flight are written at the end of a stop. */
  private static final long ANSWER_TIMEOUT_MS = 200;

  private final RunsInFlight runsInFlight;
  private final WorkCounter work;
  private final Executor ioThread;

  /**
   * Creates an instance that has ended nothing.
   *
   * @param runsInFlight requests in flight
   * @param work counter of the work in flight
   * @param ioThread thread to which the requests are confined
   */
  RequestsAtStop(RunsInFlight runsInFlight, WorkCounter work, Executor ioThread) {
    this.runsInFlight = runsInFlight;
    this.work = work;
    this.ioThread = ioThread;
  }

  /** Answers the requests, and waits until the responses are written. */
  void answer() {
    CompletableFuture<Void> answered =
        CompletableFuture.supplyAsync(runsInFlight::answerAtStop, ioThread)
            .thenCompose(
                count -> {
                  LOG.infof("%d requests were answered because the process ends", count);
                  return work.whenIdle();
                });
    if (!BoundedWait.completes(answered, ANSWER_TIMEOUT_MS)) {
      ioThread.execute(
          () ->
              LOG.warnf(
                  "%d requests are cut off by the end of the process",
                  runsInFlight.cutOffAtStop()));
    }
  }
}
