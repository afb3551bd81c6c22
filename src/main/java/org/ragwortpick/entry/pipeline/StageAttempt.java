package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.node.TextNode;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.util.Optional;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.Invariants;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.upstream.AttemptId;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.tracing.RequestTracer;

/**
 * One attempt of a stage. Accepts only responses that carry its own id, and tokens only in order.
 *
 * <p>An attempt settles once: when its call ends or when its stage cancels it. Events that arrive
 * later are ignored.
 */
final class StageAttempt implements UpstreamListener {

  private static final int OK = 200;

  private final StageTask task;
  private final AttemptId id;
  private final UpstreamSlot slot;
  private final TokenStream tokens;
  private final long progressTimeoutMs;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchGate gate;
  private final Owner owner;
  private final Span span;
  private final long sentAtMs;
  private UpstreamClient.UpstreamCall call;
  private final int firstOffset;
  private int nextOffset;
  private long firstByteMs = -1;
  private boolean idChecked;
  private boolean callEnded;
  private boolean settled;

  /**
   * Creates an attempt.
   *
   * @param task task of the stage
   * @param id id of the attempt
   * @param slot slot at the upstream, released when the attempt settles
   * @param tokens tokens that the stage has delivered so far
   * @param progressTimeoutMs time in milliseconds without a received byte after which the attempt
   *     fails
   * @param request the request
   * @param dependencies components that all requests share
   * @param gate check immediately before sending
   * @param owner stage run to which the attempt reports
   */
  StageAttempt(
      StageTask task,
      AttemptId id,
      UpstreamSlot slot,
      TokenStream tokens,
      long progressTimeoutMs,
      RequestContext request,
      EntryDependencies dependencies,
      DispatchGate gate,
      Owner owner) {
    this.task = task;
    this.id = id;
    this.slot = slot;
    this.tokens = tokens;
    this.progressTimeoutMs = progressTimeoutMs;
    this.request = request;
    this.dependencies = dependencies;
    this.gate = gate;
    this.owner = owner;
    this.firstOffset = tokens.count();
    this.nextOffset = firstOffset;
    this.sentAtMs = dependencies.clock().millis();
    this.span =
        dependencies
            .tracer()
            .startHop(request.span(), task.path())
            .setAttribute("stage", id.stage())
            .setAttribute("attempt", id.attempt())
            .setAttribute("upstream", slot.upstream().id());
  }

  /** Sends the request. */
  void send() {
    long remainingMs = Math.max(1, request.deadlineAtMs() - sentAtMs);
    Upstream upstream = slot.upstream();
    call =
        dependencies
            .client()
            .send(
                new UpstreamRequest(
                    upstream.address(),
                    task.path(),
                    id,
                    remainingMs,
                    RequestTracer.traceparent(span),
                    task.body().write(nextOffset, tokens.text()),
                    task.stream(),
                    !task.idempotent(),
                    Math.min(remainingMs, progressTimeoutMs),
                    () -> gate.maySend(upstream)),
                this);
  }

  /**
   * Returns the upstream.
   *
   * @return the upstream
   */
  Upstream upstream() {
    return slot.upstream();
  }

  /**
   * Tells whether the head of a response arrived.
   *
   * @return true if the upstream has started to respond
   */
  boolean hasFirstByte() {
    return firstByteMs >= 0;
  }

  /**
   * Tells whether the attempt has delivered a token.
   *
   * @return true if the upstream has got beyond the beginning of its response
   */
  boolean hasDelivered() {
    return nextOffset > firstOffset;
  }

  /** Settles the attempt without a report and cancels its work at the upstream. */
  void cancel() {
    if (settled) {
      return;
    }
    settled = true;
    slot.release(AttemptResult.CANCELLED, firstByteMs);
    span.setAttribute("end", "CANCELLED").end();
    abortAndCancel();
  }

  @Override
  public void onHead(UpstreamHead head) {
    request.serialExecutor().execute(() -> handleHead(head));
  }

  @Override
  public void onEvent(ServerSentEvent event) {
    request.serialExecutor().execute(() -> handleEvent(event));
  }

  @Override
  public void onEnd(UpstreamEnd end) {
    request.serialExecutor().execute(() -> handleEnd(end));
  }

  private void handleHead(UpstreamHead head) {
    if (settled) {
      return;
    }
    if (!head.belongsTo(id)) {
      failAsBroken(head.status(), "the response belongs to another attempt");
      return;
    }
    idChecked = true;
    firstByteMs = dependencies.clock().millis() - sentAtMs;
    gate.recordHead(slot.upstream(), head);
    if (head.cold() && slot.upstream().state() != UpstreamState.COLD) {
      dependencies.policies().coldAllowances().reportCold(slot.upstream());
    }
  }

  private void handleEvent(ServerSentEvent event) {
    if (settled) {
      return;
    }
    if (event.name().equals("token")) {
      handleToken(ResponseParser.parseToken(event));
    } else if (event.name().equals("done")) {
      handleDone(ResponseParser.parseDone(event));
    }
  }

  private void handleToken(Optional<ResponseParser.Token> token) {
    if (token.isEmpty() || token.get().offset() != nextOffset) {
      failAsBroken(OK, "the stream has a gap, a repeated token or an event that is not valid");
      return;
    }
    nextOffset++;
    Invariants.check(
        idChecked, "a token was accepted before the attempt id of its response was checked");
    owner.onToken(this, token.get().offset(), token.get().text());
  }

  private void handleDone(Optional<Integer> statedCount) {
    if (statedCount.isEmpty() || statedCount.get() != nextOffset || nextOffset != tokens.count()) {
      failAsBroken(
          OK, "the token count of the \"done\" event differs from the number of tokens received");
      return;
    }
    settle(
        ResponseParser.completed(
            new StageResponse(OK, new byte[0], TextNode.valueOf(tokens.text()))));
  }

  private void handleEnd(UpstreamEnd end) {
    callEnded = true;
    if (!settled && !idChecked && end instanceof UpstreamEnd.Answered answered) {
      handleHead(answered.head());
    }
    if (!settled) {
      settle(ResponseParser.classify(task, end));
    }
  }

  private void failAsBroken(int status, String cause) {
    settle(ResponseParser.failed(AttemptEnd.Kind.BROKEN, status, cause));
  }

  private void settle(AttemptEnd end) {
    Invariants.check(
        idChecked || end.kind() != AttemptEnd.Kind.COMPLETE,
        "a response was accepted without a check of its attempt id");
    settled = true;
    slot.release(end.kind().result(), firstByteMs);
    if (end.kind() == AttemptEnd.Kind.COMPLETE && end.status() == OK) {
      dependencies.policies().hedgePolicy().recordFirstByte(task.service(), firstByteMs);
    }
    span.setAttribute("end", end.kind().name());
    if (end.kind() != AttemptEnd.Kind.COMPLETE) {
      span.setStatus(StatusCode.ERROR, end.cause());
    }
    span.end();
    if (end.kind().mayStillRun()) {
      abortAndCancel();
    }
    owner.onEnd(this, end);
  }

  private void abortAndCancel() {
    if (call != null && !callEnded) {
      call.abort();
    }
    new CancelSender(dependencies).send(slot.upstream().address(), id);
  }

  /** Receiver of the progress of an attempt. */
  interface Owner {

    /**
     * Receives the next token of the attempt.
     *
     * @param attempt the attempt
     * @param offset offset of the token
     * @param text text of the token
     */
    void onToken(StageAttempt attempt, int offset, String text);

    /**
     * Receives the end of an attempt that was not cancelled.
     *
     * @param attempt the attempt
     * @param end the end
     */
    void onEnd(StageAttempt attempt, AttemptEnd end);
  }
}
