package org.ragwortpick.consensus.transport;

import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.Message;
import org.ragwortpick.control.SlowLink;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.ConsensusBatch;
import org.ragwortpick.proto.ConsensusGrpc;
import org.ragwortpick.proto.ConsensusMessage;
import org.ragwortpick.proto.ConsensusReply;
import org.ragwortpick.routing.Route;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.routing.RoutingFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a log entry that never reaches a follower, because the link of the leader does not
 * carry it within the timeout of a call.
 */
public final class PeerSenderTest {

  /** A quarter of 100 Mbit/s: the leader sends an entry to four followers at the same moment. */
  private static final long LINK_BYTES_PER_SECOND = 100_000_000 / 8 / 4;

  private static final int ROUTES = 8_400;
  private static final long ARRIVAL_TIMEOUT_MS = 2_000;
  private static final int MAX_FIRST_CALLS = 20;

  /** Longer than a call lasts, after which its messages are lost. */
  private static final long FIRST_CALL_MS = 500;

  private final Clock clock = new MonotonicClock();
  private final BlockingQueue<ConsensusBatch> received = new LinkedBlockingQueue<>();
  private Server server;
  private SlowLink link;
  private PeerChannels channels;
  private PeerSender sender;

  @BeforeMethod
  public void start() throws Exception {
    received.clear();
    server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .addService(new ReceivingService())
            .build()
            .start();
    link = new SlowLink(server.getPort(), LINK_BYTES_PER_SECOND);
    channels = new PeerChannels();
    sender = new PeerSender("config", "cluster", () -> "lineage", link.address(), channels);
    assertTrue(isReached(), "no first call");
  }

  /** The first calls of a process open the connection and load classes, and may be lost. */
  private boolean isReached() throws InterruptedException {
    ConsensusBatch first = null;
    for (int i = 0; i < MAX_FIRST_CALLS && first == null; i++) {
      sender.send(List.of(append(new byte[0])));
      first = received.poll(FIRST_CALL_MS, TimeUnit.MILLISECONDS);
    }
    return first != null;
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    sender.close();
    channels.close();
    link.close();
    server.shutdownNow();
  }

  @Test
  public void entryOfLargeConfigurationArrives() throws Exception {
    Route[] routes =
        IntStream.range(0, ROUTES)
            .mapToObj(
                i -> RoutingFixture.route("r-" + i, "h" + i + ".example", "/p" + i + "/", "s"))
            .toArray(Route[]::new);
    RoutingConfiguration configuration = RoutingFixture.configuration(1, routes);
    ConsensusMessage message = append(configuration.encode().getBytes(StandardCharsets.UTF_8));
    sender.send(List.of(message));
    long endMs = clock.millis() + ARRIVAL_TIMEOUT_MS;
    boolean arrived = false;
    while (!arrived && clock.millis() < endMs) {
      ConsensusBatch batch = received.poll(endMs - clock.millis(), TimeUnit.MILLISECONDS);
      arrived = batch != null && batch.getMessagesList().contains(message);
    }
    assertTrue(arrived, "no call with " + message.getSerializedSize() + " bytes arrived");
  }

  private static ConsensusMessage append(byte[] data) {
    List<LogEntry> entries = List.of(new LogEntry(1, 1, LogEntry.Kind.COMMAND, data));
    return MessageCodec.encode(
        new Envelope("a", "b", new Message.AppendRequest(1, 0, 0, entries, 0, 0)));
  }

  private final class ReceivingService extends ConsensusGrpc.ConsensusImplBase {

    @Override
    public void deliver(ConsensusBatch batch, StreamObserver<ConsensusReply> observer) {
      received.add(batch);
      observer.onNext(ConsensusReply.getDefaultInstance());
      observer.onCompleted();
    }
  }
}
