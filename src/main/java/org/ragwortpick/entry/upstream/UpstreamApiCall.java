package org.ragwortpick.entry.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.ragwortpick.common.Json;

/** Call of the upstream API: adds the attempt id to the request and parses the response. */
final class UpstreamApiCall implements UpstreamClient.UpstreamCall, HttpListener {

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private final int maxResponseBytes;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final ServerSentEventParser events;
  private HttpCall call;
  private UpstreamHead head;
  private long receivedBytes;
  private boolean streaming;
  private String rejectionCause = "";

  /**
   * Creates a call that is not started.
   *
   * @param request the request
   * @param listener receives the response
   * @param maxResponseBytes largest response body in bytes
   */
  UpstreamApiCall(UpstreamRequest request, UpstreamListener listener, int maxResponseBytes) {
    this.request = request;
    this.listener = listener;
    this.maxResponseBytes = maxResponseBytes;
    this.events = new ServerSentEventParser(listener::onEvent);
  }

  /**
   * Sends the request.
   *
   * @param callClient client that starts the HTTP call
   * @return this call
   */
  UpstreamApiCall send(HttpCallClient callClient) {
    call =
        callClient.send(
            new HttpRequest(
                request.address(),
                Methods.POST,
                request.path(),
                this::headers,
                request.body(),
                request.freshConnection(),
                ResponseLimits.withoutTotalTimeout(request.progressTimeoutMs(), maxResponseBytes),
                request.permit()),
            this);
    return this;
  }

  private HeaderMap headers() {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.HOST, request.address().toString());
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(Headers.CONTENT_LENGTH, request.body().length);
    headers.put(UpstreamHeaders.REQUEST_ID, request.id().requestId());
    headers.put(UpstreamHeaders.STAGE, request.id().stage());
    headers.put(UpstreamHeaders.ATTEMPT, request.id().attempt());
    headers.put(UpstreamHeaders.DEADLINE_MS, request.deadlineMs());
    if (!request.traceparent().isEmpty()) {
      headers.put(UpstreamHeaders.TRACEPARENT, request.traceparent());
    }
    if (request.stream()) {
      headers.put(Headers.ACCEPT, "text/event-stream");
    }
    return headers;
  }

  @Override
  public void abort() {
    call.abort();
  }

  @Override
  public boolean onHead(HttpHead httpHead) {
    head = UpstreamHeaders.parse(httpHead.status(), httpHead.headers());
    streaming = request.stream() && httpHead.status() == 200;
    listener.onHead(head);
    return true;
  }

  @Override
  public boolean onBytes(ByteBuffer bytes) {
    receivedBytes += bytes.remaining();
    if (receivedBytes > maxResponseBytes) {
      rejectionCause = "the response is larger than " + maxResponseBytes + " bytes";
    } else if (!streaming) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.writeBytes(copy);
    } else if (!events.feed(bytes)) {
      rejectionCause = "a line of the event stream is too long";
    }
    return rejectionCause.isEmpty();
  }

  @Override
  public boolean isIdentified() {
    return head.belongsTo(request.id());
  }

  @Override
  public void onEnd(HttpEnd end) {
    listener.onEnd(toUpstreamEnd(end));
  }

  private UpstreamEnd toUpstreamEnd(HttpEnd end) {
    if (end instanceof HttpEnd.Completed completed) {
      boolean endsWithConnection = completed.body().framing() == BodyFraming.CONNECTION_CLOSE;
      if (endsWithConnection && !streaming && !isWholeJson(body.toByteArray())) {
        return new CallFailure.Broken(
            CallFailure.Broken.Sign.PARTIAL_JSON,
            "the body ends with its connection and is not one whole JSON value");
      }
      return new UpstreamEnd.Answered(head, body.toByteArray());
    }
    return rejectionCause.isEmpty()
        ? (CallFailure) end
        : new CallFailure.Broken(CallFailure.Broken.Sign.UNUSABLE, rejectionCause);
  }

  /** A number never counts, since its last digits may be missing. */
  private static boolean isWholeJson(byte[] json) {
    try {
      JsonNode value = Json.MESSAGES.readTree(json);
      return value != null && !value.isMissingNode() && !value.isNumber();
    } catch (IOException e) {
      return false;
    }
  }
}
