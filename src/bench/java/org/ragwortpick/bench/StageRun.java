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

/** One stage of a request with its attempts. */
final class StageRun {

  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_SELECTIONS = 4;
  private static final double WAIT_MS = 10;
  private static final double PROGRESS_TIMEOUT_MS = 1_000;

  private final EntryModel entry;
  private final Decisions decisions;
  private final Arrival arrival;
  private final int index;
  private final long budgetMs;
  private final Stage stage;
  private final boolean nonIdempotent;
  private final Consumer<String> done;
  private final Set<String> failedIds = new HashSet<>();
  private final List<Attempt> active = new ArrayList<>();
  private int attempts;
  private boolean ended;

  /** One request to one upstream. */
  private final class Attempt implements Work.Listener {
    private final Upstream upstream;
    private final Work work;
    private final double sentAtMs = entry.queue().sinceStartMs();
    private double firstByteMs = -1;

    private Attempt(Upstream upstream) {
      this.upstream = upstream;
      this.work =
          new Work(
              arrival.id(),
              arrival.workMs(index, attempts),
              stage.maxTokens() > 0 ? arrival.tokens() : 0,
              stage.maxTokens() > 0 ? arrival.prefixHash() : 0,
              this);
    }

    @Override
    public void firstByte() {
      entry.queue().after(entry.latencyMs(upstream), () -> StageRun.this.firstByte(this));
    }

    @Override
    public void ended(AttemptResult result) {
      entry
          .queue()
          .after(entry.latencyMs(upstream), () -> StageRun.this.attemptEnded(this, result));
    }
  }

  /**
   * Creates a stage.
   *
   * @param entry entry VM
   * @param arrival the request
   * @param index index of the stage
   * @param budgetMs time that the stage may take
   * @param done receives an empty text after success, else the reason
   */
  StageRun(EntryModel entry, Arrival arrival, int index, long budgetMs, Consumer<String> done) {
    this.entry = entry;
    this.decisions = entry.decisions();
    this.arrival = arrival;
    this.index = index;
    this.budgetMs = budgetMs;
    this.stage = arrival.pipeline().stages().get(index);
    this.nonIdempotent = entry.view().configuration().isNonIdempotent(stage.service());
    this.done = done;
  }

  /**
   * Returns the name.
   *
   * @return name of the stage
   */
  String name() {
    return stage.name();
  }

  /** Sends the first attempt. */
  void start() {
    decisions.retryBudget().recordFirstAttempt();
    sendOrWait();
  }

  /** Stops all attempts. */
  void cancel() {
    ended = true;
    for (Attempt attempt : List.copyOf(active)) {
      close(attempt, AttemptResult.CANCELLED);
    }
  }

  private void sendOrWait() {
    if (ended || send(false)) {
      return;
    }
    // When every upstream has failed this stage once, each of them may be tried again.
    failedIds.clear();
    entry.queue().after(WAIT_MS, this::sendOrWait);
  }

  private boolean send(boolean isHedge) {
    Set<String> excluded = new HashSet<>(failedIds);
    active.forEach(attempt -> excluded.add(attempt.upstream.id()));
    List<Candidate> candidates = decisions.candidates(entry.view().upstreams(stage.service()));
    for (int i = 0; i < MAX_SELECTIONS; i++) {
      long prefix = stage.maxTokens() > 0 ? arrival.prefixHash() : 0;
      Optional<Candidate> selected =
          decisions
              .selector()
              .select(new SelectionRequest(stage.service(), prefix, excluded), candidates);
      if (selected.isEmpty()) {
        return false;
      }
      Upstream upstream = selected.get().upstream();
      excluded.add(upstream.id());
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
    active.add(attempt);
    attempts++;
    entry.result().recordAttempt(stage.name(), isHedge);
    if (entry.network().isOutBeyondBound(upstream.dataCentre())) {
      entry.result().recordSentAfterBound();
    }
    UpstreamModel model = entry.network().upstream(upstream.id());
    entry.queue().after(entry.latencyMs(upstream), () -> model.submit(attempt.work));
    entry.queue().after(PROGRESS_TIMEOUT_MS, () -> checkProgress(attempt));
    OptionalLong hedgeMs = decisions.hedgePolicy().delayMs(stage.service(), budgetMs);
    if (!isHedge && hedgeMs.isPresent()) {
      entry.queue().after(hedgeMs.getAsLong(), () -> hedge(attempt));
    }
  }

  private void hedge(Attempt attempt) {
    boolean slow = !ended && active.contains(attempt) && attempt.firstByteMs < 0;
    if (slow && active.size() == 1 && decisions.retryBudget().tryTake()) {
      send(true);
    }
  }

  private void firstByte(Attempt attempt) {
    if (active.contains(attempt)) {
      attempt.firstByteMs = entry.queue().sinceStartMs() - attempt.sentAtMs;
      decisions.hedgePolicy().recordFirstByte(stage.service(), (long) attempt.firstByteMs);
    }
  }

  private void checkProgress(Attempt attempt) {
    boolean silent = active.contains(attempt) && attempt.firstByteMs < 0;
    if (silent && decisions.mayRepeat(nonIdempotent, true)) {
      attemptEnded(attempt, AttemptResult.TIMED_OUT);
    }
  }

  private void attemptEnded(Attempt attempt, AttemptResult result) {
    if (!active.contains(attempt)) {
      return;
    }
    close(attempt, result);
    if (ended) {
      return;
    }
    if (result == AttemptResult.SUCCESS) {
      if (stage.maxTokens() > 0) {
        decisions.prefixIndex().recordResponse(attempt.upstream.id(), arrival.prefixHash());
      }
      cancel();
      done.accept("");
      return;
    }
    failedIds.add(attempt.upstream.id());
    if (!active.isEmpty()) {
      return;
    }
    boolean mayHaveRun = result != AttemptResult.REFUSED;
    boolean retry =
        attempts < MAX_ATTEMPTS
            && decisions.mayRepeat(nonIdempotent, mayHaveRun)
            && decisions.retryBudget().tryTake();
    if (retry) {
      sendOrWait();
    } else {
      done.accept("stage " + stage.name() + " failed: " + result);
    }
  }

  private void close(Attempt attempt, AttemptResult result) {
    active.remove(attempt);
    decisions.limiter().release(attempt.upstream, result, (long) attempt.firstByteMs);
    decisions.allowances().release(attempt.upstream);
    if (decisions.limiter().looksCold(attempt.upstream)) {
      decisions.allowances().reportCold(attempt.upstream);
    }
    boolean running = result == AttemptResult.CANCELLED || result == AttemptResult.TIMED_OUT;
    if (running) {
      UpstreamModel model = entry.network().upstream(attempt.upstream.id());
      entry.queue().after(entry.latencyMs(attempt.upstream), () -> model.cancel(attempt.work));
    }
  }
}
