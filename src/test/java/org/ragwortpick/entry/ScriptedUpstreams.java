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

/** Client that keeps each request until the test answers it. */
public final class ScriptedUpstreams implements UpstreamClient {

  private final List<Sent> work = new ArrayList<>();
  private final List<String> cancels = new ArrayList<>();

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    if (request.path().equals("/v1/cancel")) {
      cancels.add(new String(request.body(), StandardCharsets.UTF_8));
      return () -> {};
    }
    work.add(new Sent(request, listener));
    return () -> {};
  }

  /** Requests for work, in order. */
  public List<Sent> work() {
    return work;
  }

  /** Bodies of the cancels, in order. */
  public List<String> cancels() {
    return cancels;
  }

  /**
   * One request with the ways to answer it.
   *
   * @param request the request
   * @param listener receiver of the answer
   */
  public record Sent(UpstreamRequest request, UpstreamListener listener) {

    /** Asks the permit, as the client does immediately before the first byte. */
    public boolean write() {
      boolean permitted = request.permit().getAsBoolean();
      if (!permitted) {
        listener.onEnd(new CallFailure.NotPermitted());
      }
      return permitted;
    }

    public void answer(int status, String body) {
      UpstreamHead head = new UpstreamHead(status, Optional.of(request.id()), false);
      listener.onHead(head);
      listener.onEnd(new UpstreamEnd.Answered(head, body.getBytes(StandardCharsets.UTF_8)));
    }

    public void token(int offset) {
      listener.onHead(new UpstreamHead(200, Optional.of(request.id()), false));
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
