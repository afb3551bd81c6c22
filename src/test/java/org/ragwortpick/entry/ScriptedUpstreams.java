package org.ragwortpick.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamClient;
import org.ragwortpick.entry.upstream.UpstreamEnd;
import org.ragwortpick.entry.upstream.UpstreamHead;
import org.ragwortpick.entry.upstream.UpstreamListener;
import org.ragwortpick.entry.upstream.UpstreamRequest;

/** Upstream client that records requests; the test sends the responses. */
public final class ScriptedUpstreams implements UpstreamClient {

  private final List<SentRequest> workRequests = new ArrayList<>();
  private final List<String> cancelBodies = new ArrayList<>();

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    if (request.path().equals("/v1/cancel")) {
      cancelBodies.add(new String(request.body(), StandardCharsets.UTF_8));
      return () -> {};
    }
    workRequests.add(new SentRequest(request, listener));
    return () -> {};
  }

  /** Returns the requests except cancels, in the order of sending. */
  public List<SentRequest> workRequests() {
    return workRequests;
  }

  /** Returns the bodies of the cancel requests, in the order of sending. */
  public List<String> cancelBodies() {
    return cancelBodies;
  }

  /**
   * Recorded request with methods that simulate the response.
   *
   * @param request the request
   * @param listener receiver of the response
   */
  public record SentRequest(UpstreamRequest request, UpstreamListener listener) {

    /** Checks the permit, as the client does immediately before it writes the first byte. */
    public boolean requestPermit() {
      boolean permitted = request.permit().getAsBoolean();
      if (!permitted) {
        listener.onEnd(new CallFailure.NotPermitted());
      }
      return permitted;
    }

    public void respond(int status, String body) {
      UpstreamHead head = new UpstreamHead(status, Optional.of(request.id()), false, false, 0);
      listener.onHead(head);
      listener.onEnd(new UpstreamEnd.Answered(head, body.getBytes(StandardCharsets.UTF_8)));
    }

    public void token(int offset) {
      listener.onHead(new UpstreamHead(200, Optional.of(request.id()), false, false, 0));
      String data = "{\"offset\":" + offset + ",\"text\":\"t" + offset + "\"}";
      listener.onEvent(new ServerSentEvent("token", data));
    }

    public void done(int tokens) {
      listener.onEvent(new ServerSentEvent("done", "{\"tokens\":" + tokens + "}"));
    }

    public void end(UpstreamEnd end) {
      listener.onEnd(end);
    }
  }
}
