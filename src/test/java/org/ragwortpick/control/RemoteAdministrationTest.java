package org.ragwortpick.control;

import static org.testng.Assert.assertEquals;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.AdministrationApiGrpc;
import org.ragwortpick.proto.AdministrationCall;
import org.ragwortpick.proto.AdministrationReply;
import org.testng.annotations.Test;

/** Guards against results that are altered or lost between the leader and the calling VM. */
public final class RemoteAdministrationTest {

  /** Longer than the 500 ms after which a call to the leader is sent once more. */
  private static final long LEADER_DELAY_MS = 700;

  @Test
  public void remoteCallsReturnResultsOfLeader() throws Exception {
    ControlFixture control = new ControlFixture();
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .addService(new AdministrationServer(control.administration(), vm -> Optional.empty()))
            .build()
            .start();
    ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    try (PeerChannels channels = new PeerChannels()) {
      RemoteAdministration remote =
          new RemoteAdministration(
              channels,
              () -> List.of(new HostPort("127.0.0.1", server.getPort())),
              new MonotonicClock(),
              scheduler);
      ProposeRequest request =
          new ProposeRequest(
              "r1",
              0,
              Optional.of(ControlFixture.inventory(List.of(), new Workspace("w1", 1))),
              Optional.empty());
      assertEquals(ControlFixture.get(remote.propose(request, 5_000)).get().revision(), 1);
      ProposeRequest stale = new ProposeRequest("r2", 0, request.inventory(), Optional.empty());
      assertEquals(
          ControlFixture.get(remote.propose(stale, 5_000)).getLeft(),
          new AdministrationError.Conflict(1));
      assertEquals(
          ControlFixture.get(remote.takeOut(new TakeOutRequest("r3", "norte-a", true), 5_000))
              .get(),
          new AcceptedChange(2, Optional.of(DataCentreState.OUT), List.of()));
      assertEquals(
          ControlFixture.get(remote.read(5_000)).get().documents(),
          control.machine().current().documents());
      assertEquals(
          ControlFixture.get(remote.returnToService(new ReturnRequest("r4", "norte-a"), 5_000))
              .get()
              .state(),
          Optional.of(DataCentreState.RETURNING));
    } finally {
      server.shutdownNow();
      scheduler.shutdownNow();
    }
  }

  @Test
  public void replyOfLeaderThatIsSlowerThanOneAttemptIsUsed() throws Exception {
    ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    AdministrationApiGrpc.AdministrationApiImplBase slow =
        new AdministrationApiGrpc.AdministrationApiImplBase() {
          @Override
          public void execute(AdministrationCall call, StreamObserver<AdministrationReply> reply) {
            scheduler.schedule(
                () -> {
                  reply.onNext(AdministrationReply.newBuilder().setRevision(7).build());
                  reply.onCompleted();
                },
                LEADER_DELAY_MS,
                TimeUnit.MILLISECONDS);
          }
        };
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
            .addService(slow)
            .build()
            .start();
    try (PeerChannels channels = new PeerChannels()) {
      RemoteAdministration remote =
          new RemoteAdministration(
              channels,
              () -> List.of(new HostPort("127.0.0.1", server.getPort())),
              new MonotonicClock(),
              scheduler);
      assertEquals(ControlFixture.get(remote.read(8_000)).get().revision(), 7);
    } finally {
      server.shutdownNow();
      scheduler.shutdownNow();
    }
  }
}
