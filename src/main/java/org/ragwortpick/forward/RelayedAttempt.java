package org.ragwortpick.forward;

import java.nio.ByteBuffer;
import org.jboss.logging.Logger;
import org.ragwortpick.entry.upstream.HttpCall;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.entry.upstream.HttpListener;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.sync.VmRecord;

/**
 * Attempt of a request through another VM, which serves it like one of its own callers. Whatever it
 * responds is passed on as it is: only the other VM knows whether the request has run. A VM that
 * does not reach the upstreams either says so, and nothing is passed on.
 */
final class RelayedAttempt implements Attempt, HttpListener {

  private static final Logger LOG = Logger.getLogger(RelayedAttempt.class);

  private final CallerRequest request;
  private final RoutingHeaders names;
  private final VmRecord peer;
  private final RelayListener listener;
  private final ResponseRelay relay;
  private final ResponseMemory.Share memory;
  private HttpCall call;
  private boolean relaying;
  private boolean misdirected;
  private boolean aborted;

  /**
   * Creates the attempt.
   *
   * @param request the request
   * @param names names of headers
   * @param peer VM that is to serve it
   * @param listener receives the events of the attempt
   * @param relay passes the response to the caller
   * @param memory counts what the response holds in memory
   */
  RelayedAttempt(
      CallerRequest request,
      RoutingHeaders names,
      VmRecord peer,
      RelayListener listener,
      ResponseRelay relay,
      ResponseMemory.Share memory) {
    this.request = request;
    this.names = names;
    this.peer = peer;
    this.listener = listener;
    this.relay = relay;
    this.memory = memory;
  }

  /**
   * Starts the attempt.
   *
   * @param client sends the request
   * @param httpRequest the request to the other VM
   */
  void start(HttpCallClient client, HttpRequest httpRequest) {
    call = client.send(httpRequest, this);
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
  public boolean onHead(HttpHead head) {
    String echoed = head.headers().getFirst(names.requestId());
    boolean mismatched = echoed == null ? head.isSuccess() : !echoed.equals(request.id());
    if (aborted || mismatched) {
      return false;
    }
    if (head.status() == Refusal.MISDIRECTED_REQUEST) {
      misdirected = true;
      return true;
    }
    relaying = true;
    listener.onRelayStarted(head.status());
    relay.start(head);
    return true;
  }

  @Override
  public boolean onBytes(ByteBuffer bytes) {
    if (aborted || misdirected) {
      return !aborted;
    }
    boolean open = relay.write(bytes);
    if (relay.isFull(call::resumeBody)) {
      call.pauseBody();
    }
    return open;
  }

  @Override
  public int maxReadBytes() {
    return memory.maxReadBytes();
  }

  @Override
  public boolean isIdentified() {
    return true;
  }

  @Override
  public void onEnd(HttpEnd end) {
    if (aborted) {
      return;
    }
    if (!relaying) {
      LOG.infof("request %s: relay through VM %s ended with %s", request.id(), peer.vm(), end);
      listener.onRelayFailed(misdirected || end.nothingSent());
      return;
    }
    listener.onRelayEnded(end);
    if (end instanceof HttpEnd.Completed) {
      relay.finish();
    } else {
      relay.finishIncomplete();
    }
  }
}
