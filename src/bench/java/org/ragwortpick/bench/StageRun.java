package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortpick.config.Stage;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.sync.Upstream;

/** Runs one stage of a request, with its retries and hedges. */
final class StageRun {

  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_SELECTIONS_PER_ATTEMPT = 4;
  private static final double NO_UPSTREAM_RETRY_DELAY_MS = 10;
  private static final double PROGRESS_TIMEOUT_MS = 1_000;

  private final EntryVmModel entry;
  private final Decisions decisions;
  private final Arrival arrival;
  private final int stageIndex;
  private final long budgetMs;
  private final Stage stage;
  private final boolean nonIdempotent;
  private final Consumer<String> onEnd;
  private final Set<String> failedUpstreamIds = new HashSet<>();
  private final List<Attempt> activeAttempts = new ArrayList<>();
  private int attemptCount;
  private boolean ended;

  /** Attempt of the stage at one upstream. */
  private final class Attempt implements UpstreamRequest.Listener {
    private final Upstream upstream;
    private final UpstreamRequest request;
    private final double sentAtMs = entry.queue().sinceStartMs();
    private double firstByteMs = -1;

    private Attempt(Upstream upstream) {
      this.upstream = upstream;
      this.request =
          new UpstreamRequest(
              arrival.id(),
              arrival.workMs(stageIndex, attemptCount),
              stage.maxTokens() > 0 ? arrival.tokens() : 0,
              stage.maxTokens() > 0 ? arrival.prefixHash() : 0,
              this);
    }

    @Override
    public void onFirstByte() {
      entry.queue().schedule(entry.latencyMs(upstream), () -> StageRun.this.recordFirstByte(this));
    }

    @Override
    public void onEnd(AttemptResult result) {
      entry
          .queue()
          .schedule(entry.latencyMs(upstream), () -> StageRun.this.handleAttemptEnd(this, result));
    }
  }

  /**
   * Creates the run of a stage.
   *
   * @param entry entry VM that runs the request
   * @param arrival the request
   * @param stageIndex index of the stage
   * @param budgetMs time that the stage may take in milliseconds
   * @param onEnd receives an empty text after success, otherwise the reason of the failure
   */
  StageRun(
      EntryVmModel entry, Arrival arrival, int stageIndex, long budgetMs, Consumer<String> onEnd) {
    this.entry = entry;
    this.decisions = entry.decisions();
    this.arrival = arrival;
    this.stageIndex = stageIndex;
    this.budgetMs = budgetMs;
    this.stage = arrival.pipeline().stages().get(stageIndex);
    this.nonIdempotent = entry.view().configuration().isNonIdempotent(stage.service());
    this.onEnd = onEnd;
  }

  /**
   * Returns the name of the stage.
   *
   * @return name of the stage
   */
  String name() {
    return stage.name();
  }

  /** Sends the first attempt, once an upstream is available. */
  void start() {
    decisions.retryBudget().recordFirstAttempt();
    sendOrWait();
  }

  /** Cancels all attempts; no further attempt is sent. */
  void cancel() {
    ended = true;
    for (Attempt attempt : List.copyOf(activeAttempts)) {
      closeAttempt(attempt, AttemptResult.CANCELLED);
    }
  }

  private void sendOrWait() {
    if (ended || send(false)) {
      return;
    }
    // No upstream is left or has a free slot; those that failed before may be used again.
    failedUpstreamIds.clear();
    entry.queue().schedule(NO_UPSTREAM_RETRY_DELAY_MS, this::sendOrWait);
  }

  private boolean send(boolean isHedge) {
    Set<String> excludedIds = new HashSet<>(failedUpstreamIds);
    activeAttempts.forEach(attempt -> excludedIds.add(attempt.upstream.id()));
    List<Candidate> candidates = decisions.candidates(entry.view().upstreams(stage.service()));
    for (int i = 0; i < MAX_SELECTIONS_PER_ATTEMPT; i++) {
      long prefix = stage.maxTokens() > 0 ? arrival.prefixHash() : 0;
      Optional<Candidate> selected =
          decisions
              .selector()
              .select(new SelectionRequest(stage.service(), prefix, excludedIds), candidates);
      if (selected.isEmpty()) {
        return false;
      }
      Upstream upstream = selected.get().upstream();
      excludedIds.add(upstream.id());
      if (decisions.allowances().tryAcquire(upstream)) {
        if (decisions.limiter().tryAcquire(upstream)) {
          send(upstream, isHedge);
          return true;
        }
        decisions.allowances().release(upstream);
      }
    }
    return false;
  }

  private void send(Upstream upstream, boolean isHedge) {
    Attempt attempt = new Attempt(upstream);
    activeAttempts.add(attempt);
    attemptCount++;
    entry.result().recordAttempt(stage.name(), isHedge);
    if (entry.network().isPastTakeOutBound(upstream.dataCentre())) {
      entry.result().recordSentAfterTakeOutBound();
    }
    UpstreamModel model = entry.network().upstream(upstream.id());
    entry.queue().schedule(entry.latencyMs(upstream), () -> model.submit(attempt.request));
    entry.queue().schedule(PROGRESS_TIMEOUT_MS, () -> endIfNoProgress(attempt));
    OptionalLong hedgeMs = decisions.hedgePolicy().delayMs(stage.service(), budgetMs);
    if (!isHedge && hedgeMs.isPresent()) {
      entry.queue().schedule(hedgeMs.getAsLong(), () -> sendHedgeIfSlow(attempt));
    }
  }

  private void sendHedgeIfSlow(Attempt attempt) {
    boolean awaitsFirstByte = !ended && activeAttempts.contains(attempt) && attempt.firstByteMs < 0;
    if (awaitsFirstByte && activeAttempts.size() == 1 && decisions.retryBudget().tryTake()) {
      send(true);
    }
  }

  private void recordFirstByte(Attempt attempt) {
    if (activeAttempts.contains(attempt)) {
      attempt.firstByteMs = entry.queue().sinceStartMs() - attempt.sentAtMs;
      decisions.hedgePolicy().recordFirstByte(stage.service(), (long) attempt.firstByteMs);
    }
  }

  private void endIfNoProgress(Attempt attempt) {
    boolean awaitsFirstByte = activeAttempts.contains(attempt) && attempt.firstByteMs < 0;
    if (awaitsFirstByte && decisions.mayRetry(nonIdempotent, true)) {
      handleAttemptEnd(attempt, AttemptResult.TIMED_OUT);
    }
  }

  private void handleAttemptEnd(Attempt attempt, AttemptResult result) {
    if (!activeAttempts.contains(attempt)) {
      return;
    }
    closeAttempt(attempt, result);
    if (ended) {
      return;
    }
    if (result == AttemptResult.SUCCESS) {
      if (stage.maxTokens() > 0) {
        decisions.prefixIndex().recordResponse(attempt.upstream.id(), arrival.prefixHash());
      }
      cancel();
      onEnd.accept("");
      return;
    }
    failedUpstreamIds.add(attempt.upstream.id());
    if (!activeAttempts.isEmpty()) {
      return;
    }
    boolean mayHaveRun = result != AttemptResult.REFUSED;
    boolean retry =
        attemptCount < MAX_ATTEMPTS
            && decisions.mayRetry(nonIdempotent, mayHaveRun)
            && decisions.retryBudget().tryTake();
    if (retry) {
      sendOrWait();
    } else {
      onEnd.accept("stage " + stage.name() + " failed: " + result);
    }
  }

  private void closeAttempt(Attempt attempt, AttemptResult result) {
    activeAttempts.remove(attempt);
    decisions.limiter().release(attempt.upstream, result, (long) attempt.firstByteMs);
    decisions.allowances().release(attempt.upstream);
    if (decisions.limiter().looksCold(attempt.upstream)) {
      decisions.allowances().reportCold(attempt.upstream);
    }
    boolean mayStillRun = result == AttemptResult.CANCELLED || result == AttemptResult.TIMED_OUT;
    if (mayStillRun) {
      UpstreamModel model = entry.network().upstream(attempt.upstream.id());
      entry
          .queue()
          .schedule(entry.latencyMs(attempt.upstream), () -> model.cancel(attempt.request));
    }
  }
}
