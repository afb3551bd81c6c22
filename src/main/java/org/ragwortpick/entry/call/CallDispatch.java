package org.ragwortpick.entry.call;

import io.opentelemetry.api.trace.Span;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.pipeline.DispatchGate;
import org.ragwortpick.entry.pipeline.PipelinePlan;
import org.ragwortpick.entry.pipeline.SlotFinder;
import org.ragwortpick.entry.pipeline.UpstreamSlot;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;
import org.ragwortpick.ledger.DispatchAttempt;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.tracing.RequestTracer;

/**
 * Sends a granted call to one upstream at most once.
 *
 * <p>Upstreams that refuse the connection received nothing, so further ones may be tried. The right
 * to write the first byte is given once and never again.
 */
final class CallDispatch {

  private final CallRequest call;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchAttempt decisions;
  private final long leaseEndsAtMs;
  private final long searchUntilMs;
  private final Owner owner;
  private final DispatchGate gate;
  private final SlotFinder places;
  private final Set<String> excluded = new HashSet<>();
  private final AtomicBoolean dispatched = new AtomicBoolean();
  private int attempts;

  /**
   * Creates a dispatch.
   *
   * @param call the call
   * @param request the request
   * @param dependencies what all requests share
   * @param decisions decides whether the call may be sent
   * @param leaseEndsAtMs end of the lease of the attempt on the monotonic clock in milliseconds
   * @param searchUntilMs time on the monotonic clock in milliseconds until which a place is waited
   *     for; what remains of the deadline is needed to commit that the call was not run
   * @param owner receiver of the outcome
   */
  CallDispatch(
      CallRequest call,
      RequestContext request,
      EntryDependencies dependencies,
      DispatchAttempt decisions,
      long leaseEndsAtMs,
      long searchUntilMs,
      Owner owner) {
    this.call = call;
    this.request = request;
    this.dependencies = dependencies;
    this.decisions = decisions;
    this.leaseEndsAtMs = leaseEndsAtMs;
    this.searchUntilMs = searchUntilMs;
    this.owner = owner;
    this.gate = new DispatchGate(dependencies);
    this.places = new SlotFinder(dependencies, gate);
  }

  /** Waits for a place and sends the call. Runs on the serial executor of the request. */
  void start() {
    Invariants.check(!dispatched.get(), "a non-idempotent call was about to be sent again");
    if (!isInTime()) {
      owner.onNotDispatched();
      return;
    }
    SlotFinder.Search search = places.find(call.service(), 0, excluded, Set.of());
    if (search.slot().isPresent()) {
      send(search.slot().get());
    } else if (search.exhausted() || dependencies.clock().millis() >= searchUntilMs) {
      owner.onNotDispatched();
    } else {
      startLater();
    }
  }

  private void startLater() {
    dependencies
        .timers()
        .schedule(
            dependencies.settings().slotPollMs(), () -> request.serial().execute(this::start));
  }

  /**
   * Returns the number of upstreams to which a connection was tried.
   *
   * @return the number
   */
  int attempts() {
    return attempts;
  }

  private boolean isInTime() {
    long nowMs = dependencies.clock().millis();
    return nowMs < leaseEndsAtMs
        && nowMs < request.deadlineAtMs()
        && dependencies.view().isInForce();
  }

  /** Runs on the I/O thread immediately before the first byte is written. */
  private boolean permit(Upstream upstream) {
    if (!isInTime() || !gate.maySend(upstream) || !decisions.tryDispatch()) {
      return false;
    }
    Invariants.check(
        dispatched.compareAndSet(false, true), "a non-idempotent call was about to be sent again");
    return true;
  }

  private void send(UpstreamSlot place) {
    attempts++;
    long nowMs = dependencies.clock().millis();
    AttemptId id = new AttemptId(request.requestId(), NonIdempotentCall.STAGE, attempts);
    Span span =
        dependencies
            .tracer()
            .startHop(request.span(), PipelinePlan.EXECUTE_PATH)
            .setAttribute("upstream", place.upstream().id())
            .setAttribute("attempt", attempts);
    dependencies
        .client()
        .send(
            new UpstreamRequest(
                place.upstream().address(),
                PipelinePlan.EXECUTE_PATH,
                id,
                Math.max(1, request.deadlineAtMs() - nowMs),
                RequestTracer.traceparent(span),
                call.body(),
                false,
                true,
                // The answer is worth waiting for until the lease ends, even if the caller is gone.
                Math.max(1, leaseEndsAtMs - nowMs),
                () -> permit(place.upstream())),
            new Listener(place, id, span, nowMs));
  }

  private void handleEnd(UpstreamSlot place, AttemptId id, UpstreamEnd end, long firstByteMs) {
    if (end.nothingSent()) {
      Invariants.check(!dispatched.get(), "a call that was sent was reported as not sent");
      place.release(
          end instanceof CallFailure.NotConnected ? AttemptResult.FAILED : AttemptResult.CANCELLED,
          -1);
      if (end instanceof CallFailure.NotConnected) {
        excluded.add(place.upstream().id());
        start();
      } else {
        // What changed is seen by the next search, so the upstream itself is not excluded.
        startLater();
      }
      return;
    }
    if (end instanceof UpstreamEnd.Answered answered && answered.head().belongsTo(id)) {
      int status = answered.head().status();
      boolean refused = status == 429 || status == 503;
      place.release(refused ? AttemptResult.REFUSED : AttemptResult.SUCCESS, firstByteMs);
      owner.onAnswer(
          new RecordedAnswer(status, new String(answered.body(), StandardCharsets.UTF_8)));
      return;
    }
    place.release(
        end instanceof CallFailure.TimedOut ? AttemptResult.TIMED_OUT : AttemptResult.FAILED,
        firstByteMs);
    owner.onLost();
  }

  /** Receiver of the outcome of a dispatch. One method is called, once. */
  interface Owner {

    /**
     * Takes the answer of the service.
     *
     * @param answer the answer
     */
    void onAnswer(RecordedAnswer answer);

    /** Takes the loss of the answer; the service may have run the call. */
    void onLost();

    /** Takes the end without a dispatch; no byte was sent and none will be. */
    void onNotDispatched();
  }

  private final class Listener implements UpstreamListener {

    private final UpstreamSlot place;
    private final AttemptId id;
    private final Span span;
    private final long sentAtMs;
    private volatile long firstByteMs = -1;
    private boolean settled;

    private Listener(UpstreamSlot place, AttemptId id, Span span, long sentAtMs) {
      this.place = place;
      this.id = id;
      this.span = span;
      this.sentAtMs = sentAtMs;
    }

    @Override
    public void onHead(UpstreamHead head) {
      firstByteMs = dependencies.clock().millis() - sentAtMs;
    }

    @Override
    public void onEvent(ServerSentEvent event) {
      // A plain service has no events.
    }

    @Override
    public void onEnd(UpstreamEnd end) {
      request.serial().execute(() -> settle(end));
    }

    private void settle(UpstreamEnd end) {
      if (settled) {
        return;
      }
      settled = true;
      span.setAttribute("end", end.getClass().getSimpleName()).end();
      handleEnd(place, id, end, firstByteMs);
    }
  }
}
