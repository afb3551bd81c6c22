package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.ragwortpick.batch.BatchOutcome;
import org.ragwortpick.batch.BatchProtocol;
import org.ragwortpick.batch.BatchTransport;
import org.ragwortpick.batch.PieceCall;
import org.ragwortpick.batch.PieceResult;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.entry.upstream.HttpEnd;
import org.ragwortpick.entry.upstream.HttpHead;
import org.ragwortpick.entry.upstream.HttpListener;
import org.ragwortpick.entry.upstream.HttpRequest;
import org.ragwortpick.entry.upstream.ResponseLimits;
import org.ragwortpick.sync.Upstream;

/** Calls upstreams of stage services over HTTP. Confined to the I/O thread. */
public final class HttpBatchTransport implements BatchTransport {

  private static final Logger LOG = Logger.getLogger(HttpBatchTransport.class);

  /** Results that were not released within this time will expire anyway. */
  private static final long RELEASE_TIMEOUT_MS = 1_000;

  private static final long MAX_RESPONSE_BYTES = 1024 * 1024;
  private static final int MISDIRECTED_REQUEST = 421;

  private final HttpCallClient callClient;
  private final BatchProtocol protocol;
  private final RoutingHeaders names;
  private final UpstreamNotices notices;

  /**
   * Creates the transport.
   *
   * @param callClient sends calls to upstreams
   * @param protocol encoding of the calls
   * @param names names of headers
   * @param notices reads what upstreams state about themselves
   */
  public HttpBatchTransport(
      HttpCallClient callClient,
      BatchProtocol protocol,
      RoutingHeaders names,
      UpstreamNotices notices) {
    this.callClient = callClient;
    this.protocol = protocol;
    this.names = names;
    this.notices = notices;
  }

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    send(
        upstream,
        protocol.runPath(),
        protocol.encodeRun(pieces),
        timeoutMs,
        (response, end) -> whenDone.accept(outcome(upstream, pieces.size(), response, end)));
  }

  private BatchOutcome outcome(Upstream upstream, int pieces, Response response, HttpEnd end) {
    if (end.nothingSent() || response.status == MISDIRECTED_REQUEST) {
      return new BatchOutcome.NotReached();
    }
    if (response.notExecuted || response.status == StatusCodes.SERVICE_UNAVAILABLE) {
      return new BatchOutcome.Refused();
    }
    if (!(end instanceof HttpEnd.Completed) || response.status != StatusCodes.OK) {
      LOG.infof(
          "call with a batch to upstream %s ended with status %d: %s; its pieces count as lost",
          upstream.id(), response.status, end);
      return new BatchOutcome.Lost();
    }
    try {
      List<PieceResult> results = protocol.decodeRun(response.body.toByteArray());
      if (results.size() == pieces) {
        return new BatchOutcome.Answered(results);
      }
      LOG.warnf(
          "upstream %s returned %d results for a batch of %d pieces; the pieces count as lost",
          upstream.id(), results.size(), pieces);
    } catch (IllegalArgumentException e) {
      LOG.warnf(
          "response of upstream %s to a batch cannot be decoded, its pieces count as lost: %s",
          upstream.id(), e.getMessage());
    }
    return new BatchOutcome.Lost();
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    send(
        upstream,
        protocol.releasePath(),
        protocol.encodeRelease(handles),
        RELEASE_TIMEOUT_MS,
        (response, end) -> {
          if (response.status == StatusCodes.OK) {
            whenReleased.run();
          } else {
            LOG.debugf(
                "upstream %s did not release %d results, which will expire; status %d: %s",
                upstream.id(), handles.size(), response.status, end);
          }
        });
  }

  private void send(
      Upstream upstream,
      String path,
      byte[] body,
      long timeoutMs,
      BiConsumer<Response, HttpEnd> whenDone) {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.HOST, upstream.address().toString());
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(names.expectedUpstream(), upstream.id());
    callClient.send(
        new HttpRequest(
            upstream.address(),
            Methods.POST,
            path,
            headers,
            body,
            false,
            new ResponseLimits(timeoutMs, timeoutMs, MAX_RESPONSE_BYTES),
            () -> true),
        new Response(upstream, whenDone));
  }

  /** Collects one response. */
  private final class Response implements HttpListener {

    private final Upstream upstream;
    private final BiConsumer<Response, HttpEnd> whenDone;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean notExecuted;

    private Response(Upstream upstream, BiConsumer<Response, HttpEnd> whenDone) {
      this.upstream = upstream;
      this.whenDone = whenDone;
    }

    @Override
    public void onHead(HttpHead head) {
      status = head.status();
      notExecuted = head.headers().contains(names.notExecuted());
      notices.onHead(upstream, head);
    }

    @Override
    public boolean onBytes(ByteBuffer bytes) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.writeBytes(copy);
      return true;
    }

    @Override
    public void onEnd(HttpEnd end) {
      whenDone.accept(this, end);
    }
  }
}
