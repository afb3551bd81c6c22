package org.ragwortpick.forward;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
import org.ragwortpick.rollout.SentRequest;
import org.ragwortpick.rollout.VersionTraffic;
import org.ragwortpick.sync.Upstream;

/** Calls upstreams of stage services over HTTP. Confined to the I/O thread. */
public final class HttpBatchTransport implements BatchTransport {

  private static final Logger LOG = Logger.getLogger(HttpBatchTransport.class);

  /** Results that were not released within this time will expire anyway. */
  private static final long RELEASE_TIMEOUT_MS = 1_000;

  private static final long MAX_RESPONSE_BYTES = 1024 * 1024;
  private static final String RELEASE_KIND = "release";
  private static final PieceResult FAILED_PIECE =
      new PieceResult.NotProduced(PieceResult.Cause.FAILED);

  private final HttpCallClient callClient;
  private final BatchProtocol protocol;
  private final RoutingHeaders names;
  private final UpstreamNotices notices;
  private final Predicate<Upstream> mayTakeWork;
  private final VersionTraffic versions;
  private final Clock clock;
  private final RecentHandles recentHandles = new RecentHandles();

  /**
   * Creates the transport.
   *
   * @param callClient sends calls to upstreams
   * @param protocol encoding of the calls
   * @param names names of headers
   * @param notices reads what upstreams state about themselves
   * @param mayTakeWork whether an upstream may take work, evaluated immediately before each call is
   *     written
   * @param versions counts responses by version
   * @param clock monotonic clock
   */
  public HttpBatchTransport(
      HttpCallClient callClient,
      BatchProtocol protocol,
      RoutingHeaders names,
      UpstreamNotices notices,
      Predicate<Upstream> mayTakeWork,
      VersionTraffic versions,
      Clock clock) {
    this.callClient = callClient;
    this.protocol = protocol;
    this.names = names;
    this.notices = notices;
    this.mayTakeWork = mayTakeWork;
    this.versions = versions;
    this.clock = clock;
  }

  @Override
  public void run(
      Upstream upstream, List<PieceCall> pieces, long timeoutMs, Consumer<BatchOutcome> whenDone) {
    send(
        upstream,
        protocol.runPath(),
        protocol.encodeRun(pieces),
        timeoutMs,
        new RunResponse(upstream, pieces.size(), whenDone));
  }

  @Override
  public void release(Upstream upstream, List<String> handles, Runnable whenReleased) {
    send(
        upstream,
        protocol.releasePath(),
        protocol.encodeRelease(handles),
        RELEASE_TIMEOUT_MS,
        new ReleaseResponse(upstream, handles.size(), whenReleased));
  }

  private void send(
      Upstream upstream, String path, byte[] body, long timeoutMs, Response listener) {
    HeaderMap headers = new HeaderMap();
    headers.put(Headers.HOST, upstream.address().toString());
    headers.put(Headers.CONTENT_TYPE, "application/json");
    headers.put(names.expectedUpstream(), upstream.id());
    callClient.send(
        new HttpRequest(
            upstream.address(),
            Methods.POST,
            path,
            () -> headers,
            body,
            false,
            new ResponseLimits(timeoutMs, timeoutMs, MAX_RESPONSE_BYTES),
            () -> mayTakeWork.test(upstream) && listener.onWritten()),
        listener);
  }

  /** Names batches of a similar size, since the time of a call depends on its pieces. */
  private static String kindOf(int pieces) {
    return "batch of up to " + (Integer.highestOneBit(Math.max(1, 2 * pieces - 1)));
  }

  /** Collects one response. */
  private abstract class Response implements HttpListener {

    private final Upstream upstream;
    private final long sentAtMs = clock.millis();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final String kind;
    private SentRequest sent = SentRequest.UNCOUNTED;
    private int status;
    private boolean notExecuted;
    private boolean requestsPause;

    private Response(Upstream upstream, String kind) {
      this.upstream = upstream;
      this.kind = kind;
    }

    private boolean onWritten() {
      sent.onEnd(SentRequest.End.NO_EVIDENCE);
      sent = versions.begin(upstream, kind);
      return true;
    }

    @Override
    public boolean onHead(HttpHead head) {
      status = head.status();
      notExecuted = head.headers().contains(names.notExecuted());
      requestsPause = UpstreamNotices.requestsPause(head);
      sent.onFirstByte();
      notices.onHead(upstream, head, sentAtMs);
      return true;
    }

    @Override
    public boolean onBytes(ByteBuffer bytes) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.writeBytes(copy);
      return true;
    }

    /** Counts the end of the call for the version of its upstream. */
    final void countEnd(SentRequest.End end) {
      sent.onEnd(end);
    }

    final boolean isPauseOrNotRun() {
      return notExecuted || requestsPause || status == Refusal.MISDIRECTED_REQUEST;
    }

    final String upstreamId() {
      return upstream.id();
    }

    final int status() {
      return status;
    }

    final boolean isRefusal() {
      return notExecuted || status == StatusCodes.SERVICE_UNAVAILABLE;
    }

    /** Decodes the body as the results of a batch. */
    final List<PieceResult> decodeResults() {
      return protocol.decodeRun(body.toByteArray());
    }
  }

  /**
   * Response to a batch. It has no id, so only handles that were never seen before show that it is
   * no second copy of an earlier response.
   */
  private final class RunResponse extends Response {

    private final int pieces;
    private final Consumer<BatchOutcome> whenDone;
    private Optional<List<PieceResult>> results = Optional.empty();
    private boolean decoded;

    private RunResponse(Upstream upstream, int pieces, Consumer<BatchOutcome> whenDone) {
      super(upstream, kindOf(pieces));
      this.pieces = pieces;
      this.whenDone = whenDone;
    }

    @Override
    public boolean isIdentified() {
      return results().stream()
          .flatMap(List::stream)
          .anyMatch(PieceResult.Produced.class::isInstance);
    }

    @Override
    public void onEnd(HttpEnd end) {
      BatchOutcome outcome = outcome(end);
      countEnd(versionEvidence(end, outcome));
      whenDone.accept(outcome);
    }

    private SentRequest.End versionEvidence(HttpEnd end, BatchOutcome outcome) {
      if (outcome instanceof BatchOutcome.Answered answered) {
        return answered.results().contains(FAILED_PIECE)
            ? SentRequest.End.FAILED
            : SentRequest.End.ANSWERED;
      }
      if (end.nothingSent() || isPauseOrNotRun()) {
        return SentRequest.End.NO_EVIDENCE;
      }
      return end instanceof HttpEnd.Completed ? SentRequest.End.FAILED : SentRequest.End.BROKEN;
    }

    private BatchOutcome outcome(HttpEnd end) {
      if (end.nothingSent() || status() == Refusal.MISDIRECTED_REQUEST) {
        return new BatchOutcome.NotReached();
      }
      if (isRefusal()) {
        return new BatchOutcome.Refused();
      }
      if (end instanceof HttpEnd.Completed && status() == StatusCodes.OK) {
        return results()
            .<BatchOutcome>map(BatchOutcome.Answered::new)
            .orElse(new BatchOutcome.Lost());
      }
      LOG.infof(
          "call with a batch to upstream %s ended with status %d: %s; its pieces count as lost",
          upstreamId(), status(), end);
      return new BatchOutcome.Lost();
    }

    /** Decodes the body once; empty if it is not the response to this batch. */
    private Optional<List<PieceResult>> results() {
      if (!decoded && status() == StatusCodes.OK) {
        decoded = true;
        results = decode();
      }
      return results;
    }

    private Optional<List<PieceResult>> decode() {
      try {
        List<PieceResult> received = decodeResults();
        if (received.size() == pieces && recentHandles.addNew(received)) {
          return Optional.of(received);
        }
        LOG.warnf(
            "upstream %s returned %d results for a batch of %d pieces, or results of an earlier"
                + " batch; the pieces count as lost",
            upstreamId(), received.size(), pieces);
      } catch (IllegalArgumentException e) {
        LOG.warnf(
            "response of upstream %s to a batch cannot be decoded, its pieces count as lost: %s",
            upstreamId(), e.getMessage());
      }
      return Optional.empty();
    }
  }

  /** Response to a release. */
  private final class ReleaseResponse extends Response {

    private final int handles;
    private final Runnable whenReleased;

    private ReleaseResponse(Upstream upstream, int handles, Runnable whenReleased) {
      super(upstream, RELEASE_KIND);
      this.handles = handles;
      this.whenReleased = whenReleased;
    }

    @Override
    public boolean isIdentified() {
      return status() == StatusCodes.OK && !hasResults();
    }

    /** The results of a batch show that the response is a second copy of an earlier one. */
    private boolean hasResults() {
      try {
        return !decodeResults().isEmpty();
      } catch (IllegalArgumentException e) {
        return false;
      }
    }

    @Override
    public void onEnd(HttpEnd end) {
      countEnd(SentRequest.End.NO_EVIDENCE);
      if (isIdentified()) {
        whenReleased.run();
      } else {
        LOG.debugf(
            "upstream %s did not release %d results, which will expire; status %d: %s",
            upstreamId(), handles, status(), end);
      }
    }
  }
}
