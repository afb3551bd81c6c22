package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.ExecutorTimers;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.proto.BatchCollectorGrpc;
import org.ragwortpick.proto.PieceFailure;
import org.ragwortpick.proto.ReleaseResultsReply;
import org.ragwortpick.proto.ReleaseResultsRequest;
import org.ragwortpick.proto.SubmitPiecesReply;
import org.ragwortpick.proto.SubmitPiecesRequest;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against stage work that is lost when its collector terminates, stops replying or refuses
 * it.
 */
public final class RemoteStageRunnerTest {

  private static final HostPort LOCAL_ADDRESS = new HostPort("127.0.0.1", 1);
  private static final long TIMEOUT_MS = 5_000;

  private final List<Server> servers = new ArrayList<>();
  private final List<VmRecord> vms = new ArrayList<>();
  private ScheduledExecutorService loop;
  private PeerChannels channels;
  private RemoteStageRunner runner;

  @BeforeMethod
  public void setUp() {
    loop = Executors.newSingleThreadScheduledExecutor();
    channels = new PeerChannels();
    servers.clear();
    vms.clear();
    StageCollectors local =
        new StageCollectors(
            service -> {
              throw new AssertionError("the local VM is not in the view and must not collect");
            });
    runner =
        new RemoteStageRunner(
            LOCAL_ADDRESS,
            () -> List.copyOf(vms),
            local,
            () -> 0,
            channels,
            loop,
            new ExecutorTimers(loop),
            new MonotonicClock(),
            new PathAdmission(() -> false, new MonotonicClock()));
  }

  @AfterMethod
  public void tearDown() {
    servers.forEach(Server::shutdownNow);
    channels.close();
    loop.shutdownNow();
  }

  private Collector collector(Mode mode) throws Exception {
    Collector collector = new Collector(mode);
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .addService(collector)
            .build()
            .start();
    servers.add(server);
    HostPort address = new HostPort("127.0.0.1", server.getPort());
    collector.vm =
        new VmRecord(address.toString(), 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    vms.add(collector.vm);
    return collector;
  }

  /** Finds a service whose preferred collector is the given one. */
  private String serviceOf(Collector first) {
    for (int i = 0; ; i++) {
      String service = "service-" + i;
      if (CollectorPlacement.order(service, vms).get(0).equals(first.vm)) {
        return service;
      }
    }
  }

  private SubmissionEnd submit(String service) throws Exception {
    CompletableFuture<SubmissionEnd> end = new CompletableFuture<>();
    StageWork work =
        new StageWork(service, "r", 0, 1, "k", List.of(), 1, TIMEOUT_MS, TIMEOUT_MS, 0, "");
    loop.execute(() -> runner.submit(work, end::complete));
    return end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void assertWorkMoves(Mode mode) throws Exception {
    Collector first = collector(mode);
    Collector second = collector(Mode.REPLIES);
    String service = serviceOf(first);
    if (mode == Mode.TERMINATED) {
      servers.get(0).shutdownNow().awaitTermination();
    }
    assertEquals(submit(service), new SubmissionEnd.Produced(List.of("handle")));
    assertEquals(submit(service), new SubmissionEnd.Produced(List.of("handle")));
    assertTrue(first.submits.get() <= 1, "the failed collector was tried again at once");
    assertEquals(second.submits.get(), 2);
  }

  @Test
  public void workMovesFromTerminatedCollector() throws Exception {
    assertWorkMoves(Mode.TERMINATED);
  }

  @Test
  public void workMovesFromUnresponsiveCollector() throws Exception {
    assertWorkMoves(Mode.UNRESPONSIVE);
  }

  @Test
  public void workMovesFromCollectorThatRefusesIt() throws Exception {
    assertWorkMoves(Mode.REFUSES);
  }

  @Test
  public void workStaysAtSlowCollectorThatRepliesToProbes() throws Exception {
    Collector slow = collector(Mode.SLOW);
    Collector other = collector(Mode.REPLIES);
    assertEquals(submit(serviceOf(slow)), new SubmissionEnd.Produced(List.of("handle")));
    assertEquals(other.submits.get(), 0);
    assertEquals(slow.submits.get(), 1);
  }

  @Test
  public void workUnderWhichCollectorsFailIsGivenUp() throws Exception {
    List<Collector> collectors = new ArrayList<>();
    for (int i = 0; i < 7; i++) {
      collectors.add(collector(Mode.FAILS));
    }
    SubmissionEnd end = submit("service");
    assertEquals(end, new SubmissionEnd.Failed(SubmissionEnd.Cause.FAILED, 0));
    assertEquals(collectors.stream().mapToInt(c -> c.submits.get()).sum(), 4);
  }

  private enum Mode {
    FAILS,
    REPLIES,
    SLOW,
    TERMINATED,
    UNRESPONSIVE,
    REFUSES
  }

  private final class Collector extends BatchCollectorGrpc.BatchCollectorImplBase {
    private final Mode mode;
    private final AtomicInteger submits = new AtomicInteger();
    private VmRecord vm;

    private Collector(Mode mode) {
      this.mode = mode;
    }

    @Override
    public void submit(SubmitPiecesRequest request, StreamObserver<SubmitPiecesReply> observer) {
      submits.incrementAndGet();
      switch (mode) {
        case FAILS -> observer.onError(Status.UNAVAILABLE.asRuntimeException());
        case REPLIES ->
            reply(observer, SubmitPiecesReply.newBuilder().addHandles("handle").build());
        case SLOW ->
            loop.schedule(
                () -> reply(observer, SubmitPiecesReply.newBuilder().addHandles("handle").build()),
                1_500,
                TimeUnit.MILLISECONDS);
        case REFUSES ->
            reply(
                observer,
                SubmitPiecesReply.newBuilder()
                    .setFailure(PieceFailure.PIECE_FAILURE_UNAVAILABLE)
                    .build());
        default -> {
          // No reply is sent.
        }
      }
    }

    private void reply(StreamObserver<SubmitPiecesReply> observer, SubmitPiecesReply reply) {
      observer.onNext(reply);
      observer.onCompleted();
    }

    @Override
    public void release(
        ReleaseResultsRequest request, StreamObserver<ReleaseResultsReply> observer) {
      if (mode != Mode.UNRESPONSIVE) {
        observer.onNext(ReleaseResultsReply.getDefaultInstance());
        observer.onCompleted();
      }
    }
  }
}
