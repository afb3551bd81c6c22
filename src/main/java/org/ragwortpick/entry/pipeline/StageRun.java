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
 * Run of one stage: waits for a place, sends attempts, repeats and hedges them, and ends with the
 * first complete answer. This is the only layer that repeats anything. All methods run on the
 * serial executor of the request.
 */
final class StageRun implements StageAttempt.Owner {

  private final StageTask task;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchGate gate;
  private final PlaceFinder places;
  private final TokenStream tokens;
  private final Consumer<StageResult> receiver;
  private final Set<String> excluded = new HashSet<>();
  private final Set<String> avoided = new HashSet<>();
  private final Set<StageAttempt> live = new LinkedHashSet<>();
  private final long startedAtMs;
  private final long budgetEndsAtMs;
  private StageAttempt source;
  private String lastCause = "";
  private int attempts;
  private int sent;
  private int hedges;
  private boolean finished;
  private Timers.Timer placeTimer = () -> {};
  private Timers.Timer hedgeTimer = () -> {};
  private Timers.Timer deadlineTimer = () -> {};

  /**
   * Creates a run.
   *
   * @param task work of the stage
   * @param budgetMs time within which attempts may start, in milliseconds
   * @param request the request
   * @param dependencies what all requests share
   * @param tokens receiver of tokens
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
    this.places = new PlaceFinder(dependencies, gate);
    this.tokens = new TokenStream(tokens);
    this.receiver = receiver;
    this.startedAtMs = dependencies.clock().millis();
    this.budgetEndsAtMs = Math.min(request.deadlineAtMs(), startedAtMs + budgetMs);
  }

  /** Starts the stage. */
  void start() {
    dependencies.policies().retries().recordFirstAttempt();
    deadlineTimer =
        schedule(
            request.deadlineAtMs() - startedAtMs,
            () -> fail(new RequestError.DeadlineMissed(task.stage())));
    awaitPlace(true);
  }

  /** Ends the stage because nobody waits for it any more. */
  void cancel() {
    fail(new RequestError.CallerGone());
  }

  private void awaitPlace(boolean first) {
    if (finished) {
      return;
    }
    if (!dependencies.view().isInForce()) {
      fail(new RequestError.NotInForce());
      return;
    }
    PlaceFinder.Search search = places.find(task.service(), task.prefixHash(), excluded, avoided);
    if (search.place().isPresent()) {
      launch(search.place().get(), first);
    } else if (search.exhausted() || dependencies.clock().millis() >= budgetEndsAtMs) {
      fail(
          lastCause.isEmpty()
              ? new RequestError.NoUpstream(task.stage(), task.service())
              : new RequestError.StageFailed(task.stage(), lastCause));
    } else {
      placeTimer = schedule(dependencies.settings().slotPollMs(), () -> awaitPlace(first));
    }
  }

  private void launch(UpstreamPlace place, boolean mayHedge) {
    attempts++;
    sent++;
    StageAttempt attempt =
        new StageAttempt(
            task,
            new AttemptId(request.requestId(), task.stage(), attempts),
            place,
            tokens,
            progressTimeoutMs(),
            request,
            dependencies,
            gate,
            this);
    live.add(attempt);
    attempt.send();
    if (mayHedge && task.idempotent()) {
      long remainingMs = budgetEndsAtMs - dependencies.clock().millis();
      OptionalLong delayMs =
          dependencies.policies().hedges().delayMs(task.service(), Math.max(0, remainingMs));
      if (delayMs.isPresent()) {
        hedgeTimer = schedule(delayMs.getAsLong(), this::hedge);
      }
    }
  }

  /**
   * A stream gives up after the fixed time. Another stage may take long to its only answer, so it
   * gives up after half its time at the earliest, which leaves the other half for a repetition.
   */
  private long progressTimeoutMs() {
    long fixedMs = dependencies.settings().progressTimeoutMs();
    return task.stream() ? fixedMs : Math.max(fixedMs, (budgetEndsAtMs - startedAtMs) / 2);
  }

  private void hedge() {
    if (finished || live.size() != 1 || live.iterator().next().hasFirstByte()) {
      return;
    }
    Set<String> others = new HashSet<>(excluded);
    others.add(live.iterator().next().upstream().id());
    PlaceFinder.Search search = places.find(task.service(), task.prefixHash(), others, avoided);
    if (search.place().isEmpty()) {
      return;
    }
    if (dependencies.policies().retries().tryTake()) {
      hedges++;
      launch(search.place().get(), false);
    } else {
      search.place().get().release(AttemptResult.CANCELLED, -1);
    }
  }

  @Override
  public void onToken(StageAttempt attempt, int offset, String text) {
    Invariants.check(!finished && live.contains(attempt), "a token came from a dead attempt");
    if (source != attempt) {
      source = attempt;
      cancelOthers(attempt);
    }
    tokens.deliver(offset, text);
  }

  @Override
  public void onEnd(StageAttempt attempt, AttemptEnd end) {
    boolean wasLive = live.remove(attempt);
    Invariants.check(wasLive || finished, "an attempt ended that was not live");
    if (end.kind().nothingSent()) {
      sent--;
    }
    if (finished) {
      return;
    }
    lastCause = end.cause();
    switch (end.kind()) {
      case COMPLETE -> {
        dependencies.policies().prefixes().recordAnswer(attempt.upstream().id(), task.prefixHash());
        finish(Either.right(end.response()));
      }
      case REJECTED -> fail(new RequestError.StageRejected(task.stage(), end.status()));
      case NOT_PERMITTED ->
          // What changed is seen by the next search, so the upstream itself is not excluded.
          placeTimer = schedule(dependencies.settings().slotPollMs(), () -> repeat(true));
      case REFUSED, ERROR, NOT_CONNECTED -> {
        excluded.add(attempt.upstream().id());
        repeat(end.kind().nothingSent());
      }
      default -> {
        avoided.add(attempt.upstream().id());
        repeat(false);
      }
    }
  }

  private void repeat(boolean nothingSent) {
    if (!live.isEmpty()) {
      return;
    }
    // The delay of a hedge counts from the first attempt and says nothing about later ones.
    hedgeTimer.cancel();
    if (!nothingSent && !mayRepeat()) {
      fail(new RequestError.StageFailed(task.stage(), lastCause));
      return;
    }
    awaitPlace(false);
  }

  private boolean mayRepeat() {
    return task.idempotent()
        && sent < dependencies.settings().maxAttempts()
        && dependencies.clock().millis() < budgetEndsAtMs
        && dependencies.policies().retries().tryTake();
  }

  private void cancelOthers(StageAttempt winner) {
    for (StageAttempt attempt : List.copyOf(live)) {
      if (attempt != winner) {
        live.remove(attempt);
        attempt.cancel();
      }
    }
  }

  private void fail(RequestError error) {
    finish(Either.left(error));
  }

  private void finish(Either<RequestError, StageAnswer> answer) {
    if (finished) {
      return;
    }
    finished = true;
    placeTimer.cancel();
    hedgeTimer.cancel();
    deadlineTimer.cancel();
    cancelOthers(null);
    Invariants.check(live.isEmpty(), "a stage ended while an attempt held a place");
    long elapsedMs = dependencies.clock().millis() - startedAtMs;
    receiver.accept(
        new StageResult(
            answer,
            new StageCost(task.stage(), task.service(), sent, hedges, tokens.count(), elapsedMs),
            sent > 0));
  }

  private Timers.Timer schedule(long delayMs, Runnable action) {
    return dependencies.timers().schedule(delayMs, () -> request.serial().execute(action));
  }
}
