package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.batch.BatchOutcome;
import org.ragwortpick.batch.BatchProtocol;
import org.ragwortpick.batch.PieceCall;
import org.ragwortpick.batch.PieceResult;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.http.RawUpstream;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.LimitsFixture;
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

/** Guards against pieces that get the results of an earlier batch on the same connection. */
public final class RepeatedBatchResponseTest {

  private static final long TIMEOUT_MS = 500;
  private static final String REFUSED =
      "HTTP/1.1 503 Busy\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n";

  private XnioWorker worker;
  private HttpCallClient callClient;
  private HttpBatchTransport transport;

  @BeforeMethod
  public void start() throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).getMap());
    MonotonicClock clock = new MonotonicClock();
    callClient =
        new HttpCallClient(
            worker, new DefaultByteBufferPool(true, 16 * 1024), clock, 300, 5_000, 9);
    transport =
        new HttpBatchTransport(
            callClient,
            new TextBatches(),
            ForwardTestServer.HEADERS,
            new UpstreamNotices(
                ForwardTestServer.HEADERS,
                new LeavingUpstreams(clock),
                new RequestedPauses(clock, new SplittableRandom(1)),
                LimitsFixture.ofSingleVm(clock),
                new LoadReports(
                    ForwardTestServer.HEADERS,
                    new UpstreamEstimates(clock),
                    new InvalidInputLog(clock))),
            upstream -> true,
            TrafficFixture.withoutRollouts(clock),
            clock);
  }

  @AfterMethod
  public void stop() {
    callClient.close();
    worker.shutdownNow();
  }

  private static String produced(String handle) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + handle.length() + "\r\n\r\n" + handle;
  }

  private BatchOutcome run(Upstream upstream) throws Exception {
    CompletableFuture<BatchOutcome> outcome = new CompletableFuture<>();
    PieceCall piece = new PieceCall("r", 0, 0, 100, "k", List.of());
    transport.run(upstream, List.of(piece), TIMEOUT_MS, outcome::complete);
    return outcome.get(4 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static BatchOutcome answered(String handle) {
    return new BatchOutcome.Answered(List.of(new PieceResult.Produced(handle)));
  }

  /**
   * The text that a connection sends for its first, second and third request. The batch of the
   * second one produces {@code b}.
   */
  @DataProvider
  public static Object[][] connectionsWithRepeatedResponse() {
    String noRoom = produced("-");
    return new Object[][] {
      {List.of(produced("a"), produced("a") + produced("b"), produced("c"))},
      {List.of(produced("a") + produced("a"), produced("b"), produced("c"))},
      {List.of(produced("a"), produced("a"), produced("b"))},
      {List.of(REFUSED, REFUSED, produced("b"))},
      {List.of(noRoom, noRoom, produced("b"))},
    };
  }

  @Test(dataProvider = "connectionsWithRepeatedResponse")
  public void noPieceGetsResultOfAnEarlierBatch(List<String> firstConnection) throws Exception {
    try (RawUpstream raw =
        new RawUpstream(
            (connection, request, headers) ->
                connection == 1
                    ? firstConnection.get(Math.min(request - 1, 2))
                    : produced("new" + connection + "-" + request))) {
      Upstream upstream = TestUpstreams.ready("u1", "s1", raw.address(), "dc");
      run(upstream);
      assertNotEquals(run(upstream), answered("a"));
      assertNotEquals(run(upstream), answered("b"));
    }
  }

  @Test
  public void connectionOfSoundBatchesIsKept() throws Exception {
    try (RawUpstream raw =
        new RawUpstream((connection, request, headers) -> produced(connection + "-" + request))) {
      Upstream upstream = TestUpstreams.ready("u1", "s1", raw.address(), "dc");
      for (int i = 1; i <= 3; i++) {
        assertEquals(run(upstream), answered("1-" + i));
      }
    }
  }

  /** Protocol of batches of one piece whose response is the handle, or "-" without a result. */
  private static final class TextBatches implements BatchProtocol {

    @Override
    public String runPath() {
      return "/run";
    }

    @Override
    public byte[] encodeRun(List<PieceCall> pieces) {
      return new byte[] {'p'};
    }

    @Override
    public List<PieceResult> decodeRun(byte[] body) {
      String handle = new String(body, StandardCharsets.US_ASCII);
      return List.of(
          handle.equals("-")
              ? new PieceResult.NotProduced(PieceResult.Cause.NO_ROOM)
              : new PieceResult.Produced(handle));
    }

    @Override
    public String releasePath() {
      return "/release";
    }

    @Override
    public byte[] encodeRelease(List<String> handles) {
      return new byte[] {'r'};
    }
  }
}
