package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.batch.BatchOutcome;
import org.ragwortpick.batch.BatchProtocol;
import org.ragwortpick.batch.PieceCall;
import org.ragwortpick.batch.PieceResult;
import org.ragwortpick.common.Json;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.EndlessUpstream;
import org.ragwortpick.entry.http.RawUpstream;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.rollout.TrafficFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Guards against batch calls that never end and keep their upstream occupied. */
public final class HttpBatchTransportTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
  private static final long TIMEOUT_MS = 500;
  private static final long PAUSE_NANOS = 20_000_000L;

  private XnioWorker worker;
  private HttpCallClient callClient;
  private LeavingUpstreams leaving;
  private RequestedPauses pauses;
  private MonotonicClock clock;
  private NamedLimits limits;
  private final Set<String> takenOut = ConcurrentHashMap.newKeySet();

  @BeforeMethod
  public void start() throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    takenOut.clear();
    clock = new MonotonicClock();
    limits = LimitsFixture.ofSingleVm(clock);
    leaving = new LeavingUpstreams(new MonotonicClock());
    pauses = new RequestedPauses(new MonotonicClock(), new Random(1));
    callClient =
        new HttpCallClient(
            worker,
            new DefaultByteBufferPool(true, 16 * 1024),
            new MonotonicClock(),
            300,
            5_000,
            9);
  }

  @AfterMethod
  public void stop() {
    callClient.close();
    worker.shutdownNow();
  }

  private HttpBatchTransport transport(BatchProtocol protocol) {
    return new HttpBatchTransport(
        callClient,
        protocol,
        ForwardTestServer.HEADERS,
        new UpstreamNotices(
            ForwardTestServer.HEADERS,
            leaving,
            pauses,
            limits,
            new LoadReports(
                ForwardTestServer.HEADERS,
                new UpstreamEstimates(clock),
                new InvalidInputLog(clock))),
        upstream -> !takenOut.contains(upstream.dataCentre()) && limits.tryTake(upstream),
        TrafficFixture.withoutRollouts(clock),
        clock);
  }

  @DataProvider
  public static Object[][] endlessResponses() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nMark: ", "a", 0L}, {HEAD, "a", 0L}, {HEAD, "a", PAUSE_NANOS},
    };
  }

  @Test(dataProvider = "endlessResponses")
  public void endlessResponseIsLostWithinTimeout(String beginning, String repeated, long pauseNanos)
      throws Exception {
    try (EndlessUpstream upstream = new EndlessUpstream(beginning, repeated, pauseNanos)) {
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      transport(new EmptyBatches())
          .run(
              TestUpstreams.ready("u1", "s1", upstream.address(), "dc"),
              List.of(),
              TIMEOUT_MS,
              outcome::complete);
      assertTrue(outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS) instanceof BatchOutcome.Lost);
    }
  }

  /** Guards against pieces that are chosen before a data centre is taken out and sent after it. */
  @Test
  public void batchChosenBeforeTakeOutIsNotSent() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream((c, r, headers) -> RawUpstream.response(headers, "", "[]"))) {
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      worker
          .getIoThread()
          .execute(
              () -> {
                transport(new EmptyBatches())
                    .run(
                        TestUpstreams.ready("u1", "s1", upstream.address(), "dc"),
                        List.of(),
                        TIMEOUT_MS,
                        outcome::complete);
                takenOut.add("dc");
              });
      BatchOutcome end = outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertEquals(upstream.workRequests(), 0);
      assertTrue(end instanceof BatchOutcome.NotReached, end.toString());
    }
  }

  @Test
  public void truncatedUnframedResponseLosesItsPieces() throws Exception {
    try (RawUpstream upstream =
        new RawUpstream(
            (connection, request, headers) ->
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"Items\":[{\"Hand")) {
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      transport(new JsonBatches())
          .run(
              TestUpstreams.ready("u1", "s1", upstream.address(), "dc"),
              List.of(),
              TIMEOUT_MS,
              outcome::complete);
      assertTrue(outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS) instanceof BatchOutcome.Lost);
    }
  }

  @DataProvider
  public static Object[][] invalidStatuses() {
    return new Object[][] {{"000"}, {"099"}, {"600"}};
  }

  /** Guards against a claim in an invalid response that the batch was not run. */
  @Test(dataProvider = "invalidStatuses")
  public void invalidResponseLosesItsPieces(String status) throws Exception {
    String response =
        "HTTP/1.1 " + status + " Trouble\r\nUntouched: 1\r\nContent-Length: 2\r\n\r\n{}";
    try (RawUpstream upstream = new RawUpstream((connection, request, headers) -> response)) {
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      transport(new JsonBatches())
          .run(
              TestUpstreams.ready("u1", "s1", upstream.address(), "dc"),
              List.of(),
              TIMEOUT_MS,
              outcome::complete);
      assertTrue(outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS) instanceof BatchOutcome.Lost);
    }
  }

  @DataProvider
  public static Object[][] leavingStatusLines() {
    return new Object[][] {{"200 OK", true}, {"503 Busy", true}, {"421 Misdirected", false}};
  }

  @Test(dataProvider = "leavingStatusLines")
  public void batchesAndReleasesShowThatAnUpstreamLeaves(String statusLine, boolean excluded)
      throws Exception {
    String response = "HTTP/1.1 " + statusLine + "\r\nGoing-Away: 1\r\nContent-Length: 2\r\n\r\n{}";
    try (RawUpstream upstream = new RawUpstream((connection, request, headers) -> response)) {
      Upstream first = TestUpstreams.ready("u1", "s1", upstream.address(), "dc");
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      transport(new JsonBatches()).run(first, List.of(), TIMEOUT_MS, outcome::complete);
      outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertEquals(leaving.isLeaving(first), excluded);
    }
  }

  @DataProvider
  public static Object[][] refusalsWithRetryTime() {
    return new Object[][] {
      {"503 Busy", "Untouched: 1\r\nRetry-After: 2", true},
      {"503 Busy", "Retry-After: 0.5", true},
      {"503 Busy", "Untouched: 1", false},
      {"503 Busy", "Retry-After: -2", false},
      {"200 OK", "Retry-After: 2", false},
    };
  }

  @Test(dataProvider = "refusalsWithRetryTime")
  public void refusedBatchPausesItsUpstream(String statusLine, String headers, boolean paused)
      throws Exception {
    String response =
        "HTTP/1.1 " + statusLine + "\r\n" + headers + "\r\nContent-Length: 2\r\n\r\n{}";
    try (RawUpstream upstream = new RawUpstream((connection, request, received) -> response)) {
      Upstream called = TestUpstreams.ready("u1", "s1", upstream.address(), "dc");
      CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
      transport(new JsonBatches()).run(called, List.of(), TIMEOUT_MS, outcome::complete);
      BatchOutcome ended = outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertEquals(ended instanceof BatchOutcome.Refused, statusLine.startsWith("503"));
      assertEquals(pauses.isPaused(called), paused);
    }
  }

  /** Protocol of calls without pieces whose response is any JSON value. */
  private static final class JsonBatches extends EmptyBatches {

    @Override
    public List<PieceResult> decodeRun(byte[] body) {
      try {
        Json.MESSAGES.readTree(body);
        return List.of();
      } catch (IOException e) {
        throw new IllegalArgumentException(e);
      }
    }
  }

  /** Protocol of calls without pieces. */
  private static class EmptyBatches implements BatchProtocol {

    @Override
    public String runPath() {
      return "/run";
    }

    @Override
    public byte[] encodeRun(List<PieceCall> pieces) {
      return "{}".getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public List<PieceResult> decodeRun(byte[] body) {
      return List.of();
    }

    @Override
    public String releasePath() {
      return "/release";
    }

    @Override
    public byte[] encodeRelease(List<String> handles) {
      return "{}".getBytes(StandardCharsets.US_ASCII);
    }
  }
}
