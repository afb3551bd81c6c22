package org.ragwortpick.bench;

import org.ragwortpick.config.Pipeline;
import org.ragwortpick.policy.AdmissionController;
import org.ragwortpick.policy.AdmissionRequest;
import org.ragwortpick.policy.DeadlineBudget;

/** Runs one request of a caller through the stages of its pipeline. */
final class RequestRun {

  private final EntryVmModel entry;
  private final Arrival arrival;
  private final long deadlineAtMs;
  private final AdmissionController admission;
  private final DeadlineBudget budget;
  private StageRun currentStage;
  private int stageIndex;
  private double stageStartedAtMs;
  private boolean admitted;
  private boolean ended;

  /**
   * Creates the run of a request whose deadline starts now.
   *
   * @param entry entry VM that runs the request
   * @param arrival the request
   */
  RequestRun(EntryVmModel entry, Arrival arrival) {
    this.entry = entry;
    this.arrival = arrival;
    this.deadlineAtMs = entry.queue().millis() + arrival.pipeline().deadlineMs();
    this.admission = entry.decisions().admission(arrival.isPlainCall());
    this.budget = entry.decisions().deadlineBudget();
  }

  /** Requests admission and, once admitted, runs the stages. */
  void start() {
    long latestStartMs = deadlineAtMs - budget.estimateRemainingMs(arrival.pipeline(), 0);
    entry.queue().schedule(arrival.pipeline().deadlineMs(), () -> end("deadline passed"));
    admission
        .admit(new AdmissionRequest(arrival.workspace(), latestStartMs))
        .thenAccept(this::handleAdmission);
  }

  private void handleAdmission(boolean isAdmitted) {
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
    currentStage =
        new StageRun(
            entry,
            arrival,
            index,
            budgetMs,
            failure -> {
              if (failure.isEmpty()) {
                recordStageTime();
                startNextStageOrEnd(index);
              } else {
                end(failure);
              }
            });
    StageRun started = currentStage;
    entry.queue().schedule(budgetMs, () -> endIfStageTimedOut(started));
    currentStage.start();
  }

  private void endIfStageTimedOut(StageRun timedOut) {
    if (!ended && currentStage == timedOut) {
      end("stage " + timedOut.name() + " over budget");
    }
  }

  private void recordStageTime() {
    long elapsedMs = (long) (entry.queue().sinceStartMs() - stageStartedAtMs);
    budget.recordStage(arrival.pipeline(), stageIndex, elapsedMs);
  }

  private void startNextStageOrEnd(int index) {
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
    if (currentStage != null) {
      currentStage.cancel();
    }
    if (admitted) {
      admission.release(arrival.workspace());
    }
  }
}
