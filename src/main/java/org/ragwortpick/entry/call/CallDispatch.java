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
 * Sends a granted non-idempotent call to at most one upstream.
 *
 * <p>An upstream that refuses the connection has received nothing, so the next upstream may be
 * tried. Permission to write the first byte is granted at most once.
 */
final class CallDispatch {

  private final CallRequest call;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchAttempt dispatchAttempt;
  private final long leaseEndsAtMs;
  private final long slotWaitEndsAtMs;
  private final Owner owner;
  private final DispatchGate gate;
  private final SlotFinder slots;
  private final Set<String> excluded = new HashSet<>();
  private final AtomicBoolean dispatched = new AtomicBoolean();
  private int attempts;

  /**
   * Creates a dispatch.
   *
   * @param call the call
   * @param request the request
   * @param dependencies components that all requests share
   * @param dispatchAttempt attempt that grants the permission to dispatch
   * @param leaseEndsAtMs end of the lease of the attempt on the monotonic clock in milliseconds
   * @param slotWaitEndsAtMs time on the monotonic clock in milliseconds at which the wait for a
   *     slot ends; the rest of the deadline is reserved for committing that the call was not run
   * @param owner receiver of the outcome
   */
  CallDispatch(
      CallRequest call,
      RequestContext request,
      EntryDependencies dependencies,
      DispatchAttempt dispatchAttempt,
      long leaseEndsAtMs,
      long slotWaitEndsAtMs,
      Owner owner) {
    this.call = call;
    this.request = request;
    this.dependencies = dependencies;
    this.dispatchAttempt = dispatchAttempt;
    this.leaseEndsAtMs = leaseEndsAtMs;
    this.slotWaitEndsAtMs = slotWaitEndsAtMs;
    this.owner = owner;
    this.gate = new DispatchGate(dependencies);
    this.slots = new SlotFinder(dependencies, gate);
  }

  /** Waits for a slot and sends the call. Runs on the serial executor of the request. */
  void start() {
    Invariants.check(
        !dispatched.get(), "a non-idempotent call was about to be dispatched a second time");
    if (!mayStillDispatch()) {
      owner.onNotDispatched();
      return;
    }
    SlotFinder.Search search = slots.find(call.service(), 0, excluded, Set.of());
    if (search.slot().isPresent()) {
      send(search.slot().get());
    } else if (search.exhausted() || dependencies.clock().millis() >= slotWaitEndsAtMs) {
      owner.onNotDispatched();
    } else {
      retryLater();
    }
  }

  private void retryLater() {
    dependencies
        .timers()
        .schedule(
            dependencies.settings().slotPollMs(),
            () -> request.serialExecutor().execute(this::start));
  }

  /**
   * Returns the number of attempts, those without a connection included.
   *
   * @return the number
   */
  int attempts() {
    return attempts;
  }

  private boolean mayStillDispatch() {
    long nowMs = dependencies.clock().millis();
    return nowMs < leaseEndsAtMs
        && nowMs < request.deadlineAtMs()
        && dependencies.configurationView().isInForce();
  }

  /** Grants the dispatch. Runs on the I/O thread immediately before the first byte is written. */
  private boolean permit(Upstream upstream) {
    if (!mayStillDispatch() || !gate.maySend(upstream) || !dispatchAttempt.tryDispatch()) {
      return false;
    }
    Invariants.check(
        dispatched.compareAndSet(false, true),
        "a non-idempotent call was about to be dispatched a second time");
    return true;
  }

  private void send(UpstreamSlot slot) {
    attempts++;
    long nowMs = dependencies.clock().millis();
    AttemptId id = new AttemptId(request.requestId(), NonIdempotentCall.STAGE_NAME, attempts);
    Span span =
        dependencies
            .tracer()
            .startHop(request.span(), PipelinePlan.EXECUTE_PATH)
            .setAttribute("upstream", slot.upstream().id())
            .setAttribute("attempt", attempts);
    dependencies
        .client()
        .send(
            new UpstreamRequest(
                slot.upstream().address(),
                PipelinePlan.EXECUTE_PATH,
                id,
                Math.max(1, request.deadlineAtMs() - nowMs),
                RequestTracer.traceparent(span),
                call.body(),
                false,
                true,
                // The response is recorded even if the caller has disconnected, so the call waits
                // for it until the lease ends.
                Math.max(1, leaseEndsAtMs - nowMs),
                () -> permit(slot.upstream())),
            new Listener(slot, id, span, nowMs));
  }

  private void handleEnd(UpstreamSlot slot, AttemptId id, UpstreamEnd end, long firstByteMs) {
    if (end.nothingSent()) {
      Invariants.check(!dispatched.get(), "a dispatched call was reported as not sent");
      slot.release(
          end instanceof CallFailure.NotConnected ? AttemptResult.FAILED : AttemptResult.CANCELLED,
          -1);
      if (end instanceof CallFailure.NotConnected) {
        excluded.add(slot.upstream().id());
        start();
      } else {
        // The next search takes the changed state into account, so the upstream is not excluded.
        retryLater();
      }
      return;
    }
    if (end instanceof UpstreamEnd.Answered answered && answered.head().belongsTo(id)) {
      int status = answered.head().status();
      boolean refused = status == 429 || status == 503;
      slot.release(refused ? AttemptResult.REFUSED : AttemptResult.SUCCESS, firstByteMs);
      owner.onResponse(
          new RecordedResponse(status, new String(answered.body(), StandardCharsets.UTF_8)));
      return;
    }
    slot.release(
        end instanceof CallFailure.TimedOut ? AttemptResult.TIMED_OUT : AttemptResult.FAILED,
        firstByteMs);
    owner.onResponseLost();
  }

  /** Receiver of the outcome of a dispatch. Exactly one method is called, once. */
  interface Owner {

    /**
     * Receives the response of the service.
     *
     * @param response the response
     */
    void onResponse(RecordedResponse response);

    /** The response was lost after the dispatch; the service may have run the call. */
    void onResponseLost();

    /** The call was not dispatched: no byte was sent and none will be. */
    void onNotDispatched();
  }

  private final class Listener implements UpstreamListener {

    private final UpstreamSlot slot;
    private final AttemptId id;
    private final Span span;
    private final long sentAtMs;
    private volatile long firstByteMs = -1;
    private boolean settled;

    private Listener(UpstreamSlot slot, AttemptId id, Span span, long sentAtMs) {
      this.slot = slot;
      this.id = id;
      this.span = span;
      this.sentAtMs = sentAtMs;
    }

    @Override
    public void onHead(UpstreamHead head) {
      firstByteMs = dependencies.clock().millis() - sentAtMs;
      if (head.belongsTo(id)) {
        gate.recordHead(slot.upstream(), head);
      }
    }

    @Override
    public void onEvent(ServerSentEvent event) {
      // Service calls are not streamed.
    }

    @Override
    public void onEnd(UpstreamEnd end) {
      request.serialExecutor().execute(() -> settle(end));
    }

    private void settle(UpstreamEnd end) {
      if (settled) {
        return;
      }
      settled = true;
      span.setAttribute("end", end.getClass().getSimpleName()).end();
      handleEnd(slot, id, end, firstByteMs);
    }
  }
}
