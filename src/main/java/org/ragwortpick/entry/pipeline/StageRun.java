package org.ragwortpick.entry.pipeline;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.policy.AttemptResult;

/**
 * Run of one stage: waits for a slot, sends attempts, retries and hedges them, and ends with the
 * first complete response. This is the only layer that retries anything. All methods run on the
 * serial executor of the request.
 */
final class StageRun implements StageAttempt.Owner {

  /** Maximum number of upstreams that break off before they have delivered a token of a stage. */
  private static final int MAX_BROKEN_ATTEMPTS = 2;

  private final StageTask task;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchGate gate;
  private final SlotFinder slots;
  private final TokenStream tokens;
  private final Consumer<StageResult> receiver;
  private final Set<String> excludedUpstreams = new HashSet<>();
  private final Set<String> avoidedUpstreams = new HashSet<>();
  private final Set<StageAttempt> running = new LinkedHashSet<>();
  private final long startedAtMs;
  private final long budgetEndsAtMs;
  private StageAttempt streamingAttempt;
  private String lastCause = "";
  private int lastAttemptNumber;
  private int sentAttempts;
  private int brokenAttempts;
  private int hedges;
  private boolean finished;
  private Timers.Timer slotTimer = () -> {};
  private Timers.Timer hedgeTimer = () -> {};
  private Timers.Timer deadlineTimer = () -> {};

  /**
   * Creates a run.
   *
   * @param task task of the stage
   * @param budgetMs time within which attempts may start, in milliseconds
   * @param request the request
   * @param dependencies components that all requests share
   * @param tokens receiver of the tokens
   * @param receiver receiver of the result
   */
  StageRun(
      StageTask task,
      long budgetMs,
      RequestContext request,
      EntryDependencies dependencies,
      TokenReceiver tokens,
      Consumer<StageResult> receiver) {
    this.task = task;
    this.request = request;
    this.dependencies = dependencies;
    this.gate = new DispatchGate(dependencies);
    this.slots = new SlotFinder(dependencies, gate);
    this.tokens = new TokenStream(tokens);
    this.receiver = receiver;
    this.startedAtMs = dependencies.clock().millis();
    this.budgetEndsAtMs = Math.min(request.deadlineAtMs(), startedAtMs + budgetMs);
  }

  /** Starts the stage. */
  void start() {
    dependencies.policies().retryBudget().recordFirstAttempt();
    deadlineTimer =
        schedule(
            request.deadlineAtMs() - startedAtMs,
            () -> fail(new RequestError.DeadlineMissed(task.stage())));
    acquireSlot(true);
  }

  /** Ends the stage because its result is no longer needed. */
  void cancel() {
    fail(new RequestError.CallerGone());
  }

  private void acquireSlot(boolean mayHedge) {
    if (finished) {
      return;
    }
    if (!dependencies.configurationView().isInForce()) {
      fail(new RequestError.NotInForce());
      return;
    }
    SlotFinder.Search search =
        slots.find(task.service(), task.prefixHash(), excludedUpstreams, avoidedUpstreams);
    if (search.slot().isPresent()) {
      startAttempt(search.slot().get(), mayHedge);
    } else if (search.exhausted() || dependencies.clock().millis() >= budgetEndsAtMs) {
      fail(
          lastCause.isEmpty()
              ? new RequestError.NoUpstream(task.stage(), task.service())
              : new RequestError.StageFailed(task.stage(), lastCause));
    } else {
      slotTimer = schedule(dependencies.settings().slotPollMs(), () -> acquireSlot(mayHedge));
    }
  }

  private void startAttempt(UpstreamSlot slot, boolean mayHedge) {
    lastAttemptNumber++;
    sentAttempts++;
    StageAttempt attempt =
        new StageAttempt(
            task,
            new AttemptId(request.requestId(), task.stage(), lastAttemptNumber),
            slot,
            tokens,
            progressTimeoutMs(),
            request,
            dependencies,
            gate,
            this);
    running.add(attempt);
    attempt.send();
    if (mayHedge && task.idempotent()) {
      long remainingMs = budgetEndsAtMs - dependencies.clock().millis();
      OptionalLong delayMs =
          dependencies.policies().hedgePolicy().delayMs(task.service(), Math.max(0, remainingMs));
      if (delayMs.isPresent()) {
        hedgeTimer = schedule(delayMs.getAsLong(), this::startHedge);
      }
    }
  }

  /**
   * Returns the progress timeout of an attempt. Streams use the configured timeout. Other stages
   * may work long before their only response, so their timeout is at least half of the time budget,
   * which leaves the other half for a retry.
   */
  private long progressTimeoutMs() {
    long fixedMs = dependencies.settings().progressTimeoutMs();
    return task.stream() ? fixedMs : Math.max(fixedMs, (budgetEndsAtMs - startedAtMs) / 2);
  }

  private void startHedge() {
    if (finished || running.size() != 1 || running.iterator().next().hasFirstByte()) {
      return;
    }
    Set<String> hedgeExclusions = new HashSet<>(excludedUpstreams);
    hedgeExclusions.add(running.iterator().next().upstream().id());
    SlotFinder.Search search =
        slots.find(task.service(), task.prefixHash(), hedgeExclusions, avoidedUpstreams);
    if (search.slot().isEmpty()) {
      return;
    }
    if (dependencies.policies().retryBudget().tryTake()) {
      hedges++;
      startAttempt(search.slot().get(), false);
    } else {
      search.slot().get().release(AttemptResult.CANCELLED, -1);
    }
  }

  @Override
  public void onToken(StageAttempt attempt, int offset, String text) {
    Invariants.check(
        !finished && running.contains(attempt), "a token came from an attempt that is not running");
    if (streamingAttempt != attempt) {
      streamingAttempt = attempt;
      cancelOthers(attempt);
    }
    tokens.deliver(offset, text);
  }

  @Override
  public void onEnd(StageAttempt attempt, AttemptEnd end) {
    boolean wasRunning = running.remove(attempt);
    Invariants.check(wasRunning || finished, "an attempt ended that was not running");
    if (end.kind().nothingSent()) {
      sentAttempts--;
    }
    if (finished) {
      return;
    }
    lastCause = end.cause();
    boolean harmful = end.kind() == AttemptEnd.Kind.BROKEN_OFF && !attempt.hasDelivered();
    brokenAttempts += harmful ? 1 : 0;
    switch (end.kind()) {
      case COMPLETE -> {
        dependencies
            .policies()
            .prefixIndex()
            .recordResponse(attempt.upstream().id(), task.prefixHash());
        finish(Either.right(end.response()));
      }
      case REJECTED -> fail(new RequestError.StageRejected(task.stage(), end.status()));
      case NOT_PERMITTED ->
          // The next search takes the changed state into account, so the upstream is not excluded.
          slotTimer = schedule(dependencies.settings().slotPollMs(), () -> retry(true));
      case REFUSED, ERROR, NOT_CONNECTED -> {
        excludedUpstreams.add(attempt.upstream().id());
        retry(end.kind().nothingSent());
      }
      default -> {
        avoidedUpstreams.add(attempt.upstream().id());
        retry(false);
      }
    }
  }

  private void retry(boolean nothingSent) {
    if (!running.isEmpty()) {
      return;
    }
    // The hedge delay counts from the first attempt and does not apply to later ones.
    hedgeTimer.cancel();
    if (!nothingSent && !tryTakeRetry()) {
      fail(new RequestError.StageFailed(task.stage(), lastCause));
      return;
    }
    acquireSlot(false);
  }

  /**
   * Takes one retry from the retry budget if a retry is allowed. A request under which upstreams
   * broke off may be the cause, so it is not sent to many of them.
   */
  private boolean tryTakeRetry() {
    return task.idempotent()
        && brokenAttempts < MAX_BROKEN_ATTEMPTS
        && sentAttempts < dependencies.settings().maxAttempts()
        && dependencies.clock().millis() < budgetEndsAtMs
        && dependencies.policies().retryBudget().tryTake();
  }

  /** Cancels all running attempts except one; all of them if that one is null. */
  private void cancelOthers(StageAttempt kept) {
    for (StageAttempt attempt : List.copyOf(running)) {
      if (attempt != kept) {
        running.remove(attempt);
        attempt.cancel();
      }
    }
  }

  private void fail(RequestError error) {
    finish(Either.left(error));
  }

  private void finish(Either<RequestError, StageResponse> response) {
    if (finished) {
      return;
    }
    finished = true;
    slotTimer.cancel();
    hedgeTimer.cancel();
    deadlineTimer.cancel();
    cancelOthers(null);
    Invariants.check(running.isEmpty(), "a stage ended while an attempt held a slot");
    long elapsedMs = dependencies.clock().millis() - startedAtMs;
    receiver.accept(
        new StageResult(
            response,
            new StageCost(
                task.stage(), task.service(), sentAttempts, hedges, tokens.count(), elapsedMs),
            sentAttempts > 0));
  }

  private Timers.Timer schedule(long delayMs, Runnable action) {
    return dependencies.timers().schedule(delayMs, () -> request.serialExecutor().execute(action));
  }
}
