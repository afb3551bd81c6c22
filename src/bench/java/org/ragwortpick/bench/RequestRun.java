package org.ragwortpick.bench;

import org.ragwortpick.config.Pipeline;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;
import org.ragwortpick.policy.DeadlineBudget;

/** One request of a caller on its way through the stages. */
final class RequestRun {

  private final EntryModel entry;
  private final Arrival arrival;
  private final long deadlineAtMs;
  private final AdmissionController admission;
  private final DeadlineBudget budget;
  private StageRun stage;
  private int stageIndex;
  private double stageStartedAtMs;
  private boolean admitted;
  private boolean ended;

  /**
   * Creates a request.
   *
   * @param entry entry VM
   * @param arrival the request
   */
  RequestRun(EntryModel entry, Arrival arrival) {
    this.entry = entry;
    this.arrival = arrival;
    this.deadlineAtMs = entry.queue().millis() + arrival.pipeline().deadlineMs();
    this.admission = entry.decisions().admission(arrival.isCall());
    this.budget = entry.decisions().deadlineBudget();
  }

  /** Asks for admission and runs the stages. */
  void start() {
    long latestStartMs = deadlineAtMs - budget.estimateRemainingMs(arrival.pipeline(), 0);
    entry.queue().after(arrival.pipeline().deadlineMs(), () -> end("deadline passed"));
    admission
        .admit(new AdmissionRequest(arrival.workspace(), latestStartMs))
        .thenAccept(this::decided);
  }

  private void decided(boolean isAdmitted) {
    if (!isAdmitted) {
      end("refused");
      return;
    }
    if (ended) {
      admission.release(arrival.workspace());
      return;
    }
    admitted = true;
    startStage(0);
  }

  private void startStage(int index) {
    Pipeline pipeline = arrival.pipeline();
    long remainingMs = deadlineAtMs - entry.queue().millis();
    if (!budget.canFinish(pipeline, index, remainingMs)) {
      end("cannot finish");
      return;
    }
    long budgetMs = budget.stageBudgetMs(pipeline, index, remainingMs);
    stageIndex = index;
    stageStartedAtMs = entry.queue().sinceStartMs();
    stage =
        new StageRun(
            entry,
            arrival,
            index,
            budgetMs,
            reason -> {
              if (reason.isEmpty()) {
                recordStage();
                stageDone(index);
              } else {
                end(reason);
              }
            });
    StageRun started = stage;
    entry.queue().after(budgetMs, () -> expireStage(started));
    stage.start();
  }

  private void expireStage(StageRun expired) {
    if (!ended && stage == expired) {
      end("stage " + expired.name() + " over budget");
    }
  }

  private void recordStage() {
    long elapsedMs = (long) (entry.queue().sinceStartMs() - stageStartedAtMs);
    budget.recordStage(arrival.pipeline(), stageIndex, elapsedMs);
  }

  private void stageDone(int index) {
    if (ended) {
      return;
    }
    if (index + 1 < arrival.pipeline().stages().size()) {
      startStage(index + 1);
    } else {
      end("in time");
    }
  }

  private void end(String outcome) {
    if (ended) {
      return;
    }
    ended = true;
    entry.result().recordEnd(arrival, outcome);
    if (stage != null) {
      stage.cancel();
    }
    if (admitted) {
      admission.release(arrival.workspace());
    }
  }
}
