package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.BodyFraming;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.HttpCall;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.entry.upstream.HttpListener;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.policy.limit.PendingResponse;
import org.ragwortpick.policy.limit.TokenDemand;
import org.ragwortpick.rollout.SentRequest;
import org.ragwortpick.routing.RequestKind;
import org.ragwortpick.sync.Upstream;

/**
 * One attempt of a request at one upstream. A response that belongs to another request, or that
 * states that the request was not run, is never passed to the caller.
 */
final class UpstreamAttempt implements Attempt, HttpListener {

  private static final Logger LOG = Logger.getLogger(UpstreamAttempt.class);

  /** Maximum size of the body of a response that states that the request was not run. */
  private static final int MAX_REFUSAL_BYTES = 64 * 1024;

  private final ForwardDependencies dependencies;
  private final CallerRequest request;
  private final Upstream upstream;
  private final TokenDemand demand;
  private final AttemptListener listener;
  private final ResponseRelay relay;
  private final ResponseMemory.Share memory;
  private final boolean repeatable;
  private final AttemptEvidence evidence;
  private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private PendingResponse pending;
  private SentRequest sent = SentRequest.UNCOUNTED;
  private HttpCall call;
  private HttpHead head = new HttpHead(0, new HeaderMap(), BodyFraming.NONE);
  private long startedAtMs;
  private int refusalBytes;
  private boolean notRun;
  private boolean mismatched;
  private boolean relaying;
  private boolean aborted;

  /**
   * Creates the attempt.
   *
   * @param dependencies dependencies that all requests share
   * @param request the request
   * @param upstream upstream that is to run it
   * @param demand tokens of the request
   * @param listener receives the events of the attempt
   * @param relay passes the response to the caller
   * @param memory counts the bytes that are buffered so that the request can be repeated if the
   *     response is incomplete
   * @param repeatable whether the request may run more than once
   * @param evidence receives what the attempt shows about the prompt
   */
  UpstreamAttempt(
      ForwardDependencies dependencies,
      CallerRequest request,
      Upstream upstream,
      TokenDemand demand,
      AttemptListener listener,
      ResponseRelay relay,
      ResponseMemory.Share memory,
      boolean repeatable,
      AttemptEvidence evidence) {
    this.dependencies = dependencies;
    this.request = request;
    this.upstream = upstream;
    this.demand = demand;
    this.listener = listener;
    this.relay = relay;
    this.memory = memory;
    this.repeatable = repeatable;
    this.evidence = evidence;
  }

  /**
   * Starts the attempt.
   *
   * @param httpRequest the request to the upstream
   */
  void start(HttpRequest httpRequest) {
    long usualMs = dependencies.responseTimes().usualMs(request.route());
    startedAtMs = dependencies.clock().millis();
    pending = dependencies.loads().recordStart(upstream.id(), usualMs);
    dependencies.estimates().tokens().recordStart(upstream.service(), upstream.id(), demand);
    call = dependencies.callClient().send(httpRequest, this);
  }

  /** Called immediately before the first byte of the request is written. */
  void onWritten() {
    sent.onEnd(SentRequest.End.NO_EVIDENCE);
    sent = dependencies.versions().begin(upstream, request.route().name());
  }

  @Override
  public void abort() {
    aborted = true;
    call.abort();
  }

  @Override
  public boolean responseStarted() {
    return relaying;
  }

  @Override
  public boolean onHead(HttpHead received) {
    head = received;
    RoutingHeaders names = dependencies.headers();
    String echoed = head.headers().getFirst(names.requestId());
    notRun =
        head.status() == Refusal.MISDIRECTED_REQUEST
            || head.headers().contains(names.notExecuted());
    mismatched = echoed == null ? head.isSuccess() : !echoed.equals(request.id());
    if (!mismatched) {
      sent.onFirstByte();
    }
    dependencies.loads().recordHead(pending, head.isSuccess() && !notRun && !mismatched);
    if (mismatched) {
      LOG.warnf(
          "request %s: upstream %s responded with request id %s; the response is discarded",
          request.id(), upstream.id(), echoed);
      return false;
    }
    dependencies.notices().onHead(upstream, head, startedAtMs);
    if (!notRun) {
      evidence.onHead(head);
    }
    if (!notRun && head.isSuccess() && request.route().kind() == RequestKind.STREAMING) {
      startRelay();
    }
    return true;
  }

  private void startRelay() {
    if (aborted) {
      return;
    }
    relaying = true;
    listener.onResponseStarted(head.status());
    relay.start(head);
    if (relay.endsWithConnection()) {
      // The only trace of the response if the process is killed inside it.
      DecisionLine.of("response ends with its connection")
          .with("request", request.id())
          .with("upstream", upstream.id())
          .with("framing", head.framing())
          .info(LOG);
    }
  }

  @Override
  public boolean onBytes(ByteBuffer bytes) {
    if (aborted) {
      return false;
    }
    evidence.onBytes();
    if (relaying) {
      return relayBytes(bytes);
    }
    if (notRun) {
      // The head says all; the connection is kept if the body ends soon.
      refusalBytes += bytes.remaining();
      return refusalBytes <= MAX_REFUSAL_BYTES;
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    buffered.writeBytes(copy);
    memory.addBufferedBytes(copy.length);
    if (!memory.mayBuffer(buffered.size())) {
      startRelay();
      return relayBytes(ByteBuffer.wrap(takeBuffered()));
    }
    return true;
  }

  /** Empties the buffer, which must not be held beside the bytes that wait for the caller. */
  private byte[] takeBuffered() {
    byte[] bytes = buffered.toByteArray();
    buffered = new ByteArrayOutputStream(0);
    memory.addBufferedBytes(-bytes.length);
    return bytes;
  }

  @Override
  public int maxReadBytes() {
    return memory.maxReadBytes();
  }

  /** A caller that reads slowly slows its upstream down. */
  private boolean relayBytes(ByteBuffer bytes) {
    boolean open = relay.write(bytes);
    if (relay.isFull(call::resumeBody)) {
      call.pauseBody();
    }
    return open;
  }

  @Override
  public boolean isIdentified() {
    return request.id().equals(head.headers().getFirst(dependencies.headers().requestId()));
  }

  @Override
  public void onEnd(HttpEnd end) {
    boolean unanswered = dependencies.loads().recordEnd(pending);
    sent.onEnd(versionEvidence(end));
    dependencies.estimates().tokens().recordEnd(upstream.id(), demand);
    if (aborted) {
      if (unanswered) {
        dependencies.loads().recordFailure(upstream.id());
        LOG.infof("request %s: upstream %s left it unanswered", request.id(), upstream.id());
      }
      dependencies.metrics().attemptEnded(upstream.service(), "aborted");
      return;
    }
    evidence.onEnd(end);
    boolean complete = end instanceof HttpEnd.Completed;
    if (relaying) {
      endRelay(complete, end);
    } else if (complete && !notRun) {
      onCompleteResponse(end);
    } else {
      AttemptOutcome outcome = outcomeOf(end);
      recordFailure(outcome, end);
      takeBuffered();
      repeatOrFail(outcome);
    }
  }

  private SentRequest.End versionEvidence(HttpEnd end) {
    if (aborted) {
      return evidenceOfAborted();
    }
    if (mismatched) {
      return SentRequest.End.FAILED;
    }
    if (notRun || end.nothingSent()) {
      return SentRequest.End.NO_EVIDENCE;
    }
    if (end instanceof HttpEnd.Completed) {
      return evidenceOfStatus();
    }
    boolean unusable =
        end instanceof CallFailure.Broken broken
            && broken.sign() == CallFailure.Broken.Sign.UNUSABLE;
    return unusable ? SentRequest.End.FAILED : SentRequest.End.BROKEN;
  }

  /** An upstream that has not responded by the target latency is late; a caller may leave early. */
  private SentRequest.End evidenceOfAborted() {
    if (head.status() != 0) {
      return notRun || mismatched ? SentRequest.End.NO_EVIDENCE : evidenceOfStatus();
    }
    boolean late = dependencies.clock().millis() - startedAtMs >= request.route().targetLatencyMs();
    return late ? SentRequest.End.LATE : SentRequest.End.NO_EVIDENCE;
  }

  private SentRequest.End evidenceOfStatus() {
    if (UpstreamNotices.requestsPause(head)) {
      return SentRequest.End.NO_EVIDENCE;
    }
    boolean valid =
        head.status() >= StatusCodes.CONTINUE && head.status() < StatusCodes.INTERNAL_SERVER_ERROR;
    return valid ? SentRequest.End.ANSWERED : SentRequest.End.FAILED;
  }

  private void endRelay(boolean complete, HttpEnd end) {
    if (complete) {
      recordDuration();
      dependencies.metrics().attemptEnded(upstream.service(), "answered");
      relay.finish();
      listener.onResponseEnded(end);
    } else {
      recordFailure(AttemptOutcome.LOST, end);
      // Closing the caller's connection would otherwise end the run as left by its caller.
      listener.onResponseEnded(end);
      relay.finishIncomplete();
      // A caller that does not read must not hold its connection for good.
      long remainingMs = request.deadlineAtMs() - dependencies.clock().millis();
      dependencies.timers().schedule(Math.max(0, remainingMs), relay::abortIfUnfinished);
    }
  }

  private void onCompleteResponse(HttpEnd end) {
    boolean failed = head.status() >= StatusCodes.INTERNAL_SERVER_ERROR;
    dependencies.metrics().attemptEnded(upstream.service(), failed ? "failed" : "answered");
    if (failed) {
      if (!UpstreamNotices.requestsPause(head)) {
        dependencies.loads().recordFailure(upstream.id());
      }
      if (repeatable && listener.mayRepeat(AttemptOutcome.FAILED)) {
        listener.onErrorResponse(() -> sendComplete(end));
        listener.onRepeat(AttemptOutcome.FAILED);
        return;
      }
    }
    sendComplete(end);
  }

  /** Only successes count, because a failing upstream often responds faster than usual. */
  private void recordDuration() {
    if (head.isSuccess()) {
      long durationMs = dependencies.clock().millis() - startedAtMs;
      dependencies
          .estimates()
          .speeds()
          .recordResponse(upstream.id(), request.route().name(), durationMs);
    }
  }

  private void sendComplete(HttpEnd end) {
    recordDuration();
    listener.onResponseStarted(head.status());
    relay.sendComplete(head, takeBuffered());
    listener.onResponseEnded(end);
  }

  private AttemptOutcome outcomeOf(HttpEnd end) {
    if (end instanceof CallFailure.NotPermitted) {
      return AttemptOutcome.NOT_PERMITTED;
    }
    if (end.nothingSent()) {
      return AttemptOutcome.NOT_REACHED;
    }
    // A head that states that the request was not run is valid even if the rest is lost.
    return notRun && !mismatched ? AttemptOutcome.NOT_RUN : AttemptOutcome.LOST;
  }

  private void recordFailure(AttemptOutcome outcome, HttpEnd end) {
    dependencies.metrics().attemptEnded(upstream.service(), outcome.name());
    if (outcome == AttemptOutcome.NOT_PERMITTED) {
      LOG.debugf("request %s: upstream %s was not asked", request.id(), upstream.id());
      return;
    }
    if (outcome == AttemptOutcome.NOT_REACHED) {
      dependencies.loads().recordUnreached(upstream.id());
    } else if (outcome != AttemptOutcome.NOT_RUN || !UpstreamNotices.requestsPause(head)) {
      dependencies.loads().recordFailure(upstream.id());
    }
    LOG.infof(
        "request %s: send to upstream %s ended with %s, status %d: %s",
        request.id(), upstream.id(), outcome, head.status(), end);
  }

  private void repeatOrFail(AttemptOutcome outcome) {
    if (listener.mayRepeat(outcome)) {
      listener.onRepeat(outcome);
    } else {
      listener.onFailed(outcome);
    }
  }
}
