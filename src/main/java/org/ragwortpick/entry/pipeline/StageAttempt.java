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
 * One attempt of a stage. Accepts only what carries its own identity, and tokens only in order.
 *
 * <p>An attempt settles once: with an end of its own or when its stage drops it. Whatever arrives
 * later is ignored.
 */
final class StageAttempt implements UpstreamListener {

  private static final int OK = 200;

  private final StageTask task;
  private final AttemptId id;
  private final UpstreamPlace place;
  private final TokenStream tokens;
  private final long progressTimeoutMs;
  private final RequestContext request;
  private final EntryDependencies dependencies;
  private final DispatchGate gate;
  private final Owner owner;
  private final Span span;
  private final long sentAtMs;
  private UpstreamClient.UpstreamCall call;
  private int nextOffset;
  private long firstByteMs = -1;
  private boolean confirmed;
  private boolean callEnded;
  private boolean settled;

  /**
   * Creates an attempt.
   *
   * @param task work of the stage
   * @param id identity of the attempt
   * @param place place at the upstream, released when the attempt settles
   * @param tokens tokens of the stage so far
   * @param progressTimeoutMs time in milliseconds without a byte after which it is given up
   * @param request the request
   * @param dependencies what all requests share
   * @param gate last check before sending
   * @param owner stage of the attempt
   */
  StageAttempt(
      StageTask task,
      AttemptId id,
      UpstreamPlace place,
      TokenStream tokens,
      long progressTimeoutMs,
      RequestContext request,
      EntryDependencies dependencies,
      DispatchGate gate,
      Owner owner) {
    this.task = task;
    this.id = id;
    this.place = place;
    this.tokens = tokens;
    this.progressTimeoutMs = progressTimeoutMs;
    this.request = request;
    this.dependencies = dependencies;
    this.gate = gate;
    this.owner = owner;
    this.nextOffset = tokens.count();
    this.sentAtMs = dependencies.clock().millis();
    this.span =
        dependencies
            .tracer()
            .startHop(request.span(), task.path())
            .setAttribute("stage", id.stage())
            .setAttribute("attempt", id.attempt())
            .setAttribute("upstream", place.upstream().id());
  }

  /** Sends the request. */
  void send() {
    long remainingMs = Math.max(1, request.deadlineAtMs() - sentAtMs);
    Upstream upstream = place.upstream();
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
    return place.upstream();
  }

  /**
   * Tells whether a byte of an answer arrived.
   *
   * @return true if the upstream has started to answer
   */
  boolean hasFirstByte() {
    return firstByteMs >= 0;
  }

  /** Drops the attempt and cancels its work at the upstream. */
  void cancel() {
    if (settled) {
      return;
    }
    settled = true;
    place.release(AttemptResult.CANCELLED, firstByteMs);
    span.setAttribute("end", "CANCELLED").end();
    abandon();
  }

  @Override
  public void onHead(UpstreamHead head) {
    request.serial().execute(() -> handleHead(head));
  }

  @Override
  public void onEvent(ServerSentEvent event) {
    request.serial().execute(() -> handleEvent(event));
  }

  @Override
  public void onEnd(UpstreamEnd end) {
    request.serial().execute(() -> handleEnd(end));
  }

  private void handleHead(UpstreamHead head) {
    if (settled) {
      return;
    }
    if (!head.belongsTo(id)) {
      fail(head.status(), "the answer belongs to another attempt");
      return;
    }
    confirmed = true;
    firstByteMs = dependencies.clock().millis() - sentAtMs;
    if (head.status() == OK) {
      dependencies.policies().hedges().recordFirstByte(task.service(), firstByteMs);
    }
    if (head.cold() && place.upstream().state() != UpstreamState.COLD) {
      dependencies.policies().allowances().reportCold(place.upstream());
    }
  }

  private void handleEvent(ServerSentEvent event) {
    if (settled) {
      return;
    }
    if (event.name().equals("token")) {
      handleToken(AnswerParser.parseToken(event));
    } else if (event.name().equals("done")) {
      handleDone(AnswerParser.parseDone(event));
    }
  }

  private void handleToken(Optional<AnswerParser.Token> token) {
    if (token.isEmpty() || token.get().offset() != nextOffset) {
      fail(OK, "the stream has a gap, a repeated token or an event that is not valid");
      return;
    }
    nextOffset++;
    Invariants.check(confirmed, "a token without the identity of its attempt was accepted");
    owner.onToken(this, token.get().offset(), token.get().text());
  }

  private void handleDone(Optional<Integer> count) {
    if (count.isEmpty() || count.get() != nextOffset || nextOffset != tokens.count()) {
      fail(OK, "the stream ended with another number of tokens than it has");
      return;
    }
    settle(
        AnswerParser.complete(new StageAnswer(OK, new byte[0], TextNode.valueOf(tokens.text()))));
  }

  private void handleEnd(UpstreamEnd end) {
    callEnded = true;
    if (!settled && !confirmed && end instanceof UpstreamEnd.Answered answered) {
      handleHead(answered.head());
    }
    if (!settled) {
      settle(AnswerParser.judge(task, end));
    }
  }

  private void fail(int status, String cause) {
    settle(AnswerParser.without(AttemptEnd.Kind.BROKEN, status, cause));
  }

  private void settle(AttemptEnd end) {
    Invariants.check(
        confirmed || end.kind() != AttemptEnd.Kind.COMPLETE,
        "an answer without the identity of its attempt was accepted");
    settled = true;
    place.release(end.kind().result(), firstByteMs);
    span.setAttribute("end", end.kind().name());
    if (end.kind() != AttemptEnd.Kind.COMPLETE) {
      span.setStatus(StatusCode.ERROR, end.cause());
    }
    span.end();
    if (end.kind().mayStillRun()) {
      abandon();
    }
    owner.onEnd(this, end);
  }

  private void abandon() {
    if (call != null && !callEnded) {
      call.abort();
    }
    new CancelSender(dependencies).send(place.upstream().address(), id);
  }

  /** Stage to which an attempt reports. */
  interface Owner {

    /**
     * Takes a token that follows the last one of the attempt.
     *
     * @param attempt the attempt
     * @param offset offset of the token
     * @param text text of the token
     */
    void onToken(StageAttempt attempt, int offset, String text);

    /**
     * Takes the end of an attempt.
     *
     * @param attempt the attempt
     * @param end how it ended
     */
    void onEnd(StageAttempt attempt, AttemptEnd end);
  }
}
