package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.HttpCall;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.HttpListener;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.routing.RequestKind;
import org.ragwortpick.sync.Upstream;

/**
 * One send of a request to one upstream. An answer that belongs to another request, or that states
 * that the request was not run, never reaches the caller.
 */
final class UpstreamSend implements HttpListener {

  private static final Logger LOG = Logger.getLogger(UpstreamSend.class);

  /** Whole answers up to this size are gathered, so that a broken one can be repeated. */
  private static final int MAX_GATHERED_BYTES = 256 * 1024;

  private static final int SUCCESS = 200;
  private static final int MISDIRECTED_REQUEST = 421;
  private static final int FIRST_REDIRECT = 300;
  private static final double SECOND_MS = 1_000;

  private final ForwardDependencies dependencies;
  private final CallerRequest request;
  private final Upstream upstream;
  private final SendListener listener;
  private final AnswerRelay relay;
  private final boolean repeatable;
  private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
  private HttpCall call;
  private HeaderMap headers = new HeaderMap();
  private int status;
  private boolean headSeen;
  private boolean notRun;
  private boolean foreign;
  private boolean relaying;
  private boolean aborted;

  /**
   * Creates the send.
   *
   * @param dependencies what all requests share
   * @param request the request
   * @param upstream upstream that is to run it
   * @param listener receives the end
   * @param relay takes the answer
   * @param repeatable whether the request may run more than once
   */
  UpstreamSend(
      ForwardDependencies dependencies,
      CallerRequest request,
      Upstream upstream,
      SendListener listener,
      AnswerRelay relay,
      boolean repeatable) {
    this.dependencies = dependencies;
    this.request = request;
    this.upstream = upstream;
    this.listener = listener;
    this.relay = relay;
    this.repeatable = repeatable;
  }

  /**
   * Sends the request.
   *
   * @param http the request as the upstream gets it
   */
  void start(HttpRequest http) {
    dependencies.loads().started(upstream.id());
    call = dependencies.calls().send(http, this);
  }

  /** Closes the connection to the upstream; nothing is reported any more. */
  void abort() {
    aborted = true;
    call.abort();
  }

  /**
   * Tells whether the caller has got a part of the answer.
   *
   * @return whether the head was passed on
   */
  boolean answerStarted() {
    return relaying;
  }

  @Override
  public void onHead(int code, HeaderMap answerHeaders) {
    headSeen = true;
    status = code;
    headers = answerHeaders;
    RoutingHeaders names = dependencies.headers();
    String echoed = answerHeaders.getFirst(names.requestId());
    notRun = code == MISDIRECTED_REQUEST || answerHeaders.contains(names.notExecuted());
    boolean success = code >= SUCCESS && code < FIRST_REDIRECT;
    foreign = echoed == null ? success : !echoed.equals(request.id());
    if (foreign) {
      LOG.warnf(
          "request %s: upstream %s answered with id %s; the answer is dropped",
          request.id(), upstream.id(), echoed);
      call.abort();
      return;
    }
    LoadReport.parse(answerHeaders.getFirst(names.load()))
        .ifPresent(load -> dependencies.loads().reported(upstream.id(), load.requests()));
    if (!notRun && success && request.route().kind() == RequestKind.STREAMING) {
      startRelay();
    }
  }

  private void startRelay() {
    if (aborted) {
      return;
    }
    relaying = true;
    listener.onAnswerStarted(status);
    relay.start(status, headers);
  }

  @Override
  public boolean onBytes(ByteBuffer bytes) {
    if (aborted || foreign) {
      return false;
    }
    if (relaying) {
      return relay.write(bytes);
    }
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    gathered.writeBytes(copy);
    if (gathered.size() > MAX_GATHERED_BYTES && !notRun) {
      startRelay();
      return relay.write(ByteBuffer.wrap(gathered.toByteArray()));
    }
    return true;
  }

  @Override
  public void onEnd(HttpEnd end) {
    dependencies.loads().ended(upstream.id());
    if (aborted) {
      dependencies.metrics().sent(upstream.service(), "aborted");
      return;
    }
    boolean complete = end instanceof HttpEnd.Completed;
    if (relaying) {
      endRelay(complete, end);
    } else if (complete && !notRun) {
      onWholeAnswer();
    } else {
      SendOutcome outcome = outcomeOf(end, complete);
      noteFailure(outcome, end);
      repeatOrFail(outcome);
    }
  }

  private void endRelay(boolean complete, HttpEnd end) {
    dependencies.metrics().sent(upstream.service(), complete ? "answered" : "broken_off");
    if (complete) {
      relay.finish();
    } else {
      noteFailure(SendOutcome.LOST, end);
      relay.breakOff();
    }
    listener.onAnswerEnded(complete);
  }

  private void onWholeAnswer() {
    boolean failed = status >= StatusCodes.INTERNAL_SERVER_ERROR;
    dependencies.metrics().sent(upstream.service(), failed ? "failed" : "answered");
    if (failed) {
      dependencies.loads().failed(upstream.id());
      if (repeatable && listener.mayRepeat(SendOutcome.FAILED)) {
        listener.onRepeat(SendOutcome.FAILED);
        return;
      }
    }
    listener.onAnswerStarted(status);
    relay.sendWhole(status, headers, gathered);
    listener.onAnswerEnded(true);
  }

  private SendOutcome outcomeOf(HttpEnd end, boolean complete) {
    if (end.nothingSent()) {
      return SendOutcome.NOT_REACHED;
    }
    // A statement that nothing was run counts once its head was read, even if the rest is lost.
    return headSeen && notRun && !foreign ? SendOutcome.NOT_RUN : SendOutcome.LOST;
  }

  private void noteFailure(SendOutcome outcome, HttpEnd end) {
    dependencies.metrics().sent(upstream.service(), outcome.name());
    if (outcome == SendOutcome.NOT_REACHED) {
      dependencies.loads().notReached(upstream.id());
    } else {
      dependencies.loads().failed(upstream.id());
    }
    LOG.infof(
        "request %s: send to upstream %s ended with %s, status %d: %s",
        request.id(), upstream.id(), outcome, status, end);
  }

  private void repeatOrFail(SendOutcome outcome) {
    if (listener.mayRepeat(outcome)) {
      listener.onRepeat(outcome);
    } else {
      listener.onFailed(outcome, retryAfterMs());
    }
  }

  private long retryAfterMs() {
    String value = headers.getFirst(Headers.RETRY_AFTER);
    if (value == null) {
      return 0;
    }
    try {
      return (long) (Double.parseDouble(value.trim()) * SECOND_MS);
    } catch (NumberFormatException e) {
      LOG.debugf("upstream %s states an unreadable retry time %s", upstream.id(), value);
      return 0;
    }
  }
}
