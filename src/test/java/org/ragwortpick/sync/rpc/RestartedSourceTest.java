package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.NoLeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.testng.annotations.Test;

/** Guards against a VM that keeps its old view long after its source of polls can be reached. */
public final class RestartedSourceTest {

  private static final HostPort CONTROL = new HostPort("127.163.1.1", 7300);
  private static final HostPort ENTRY = new HostPort("127.163.1.2", 7300);

  /** Time within which a change must be in force on all VMs. */
  private static final long IN_FORCE_MS = 2_000;

  /** Outage after which a channel left to itself waits 6 s between two connection attempts. */
  private static final long OUTAGE_MS = 11_500;

  private final Clock clock = new MonotonicClock();

  private SyncNode node(String vm, HostPort address, boolean leads, PeerChannels channels) {
    FakeLeader leader = new FakeLeader(new FakeLeader.Committed(), clock::millis);
    leader.setLeadership(true, 1, "c1");
    return new SyncNode(
        new SyncIdentity(
            vm,
            1,
            "norte-a",
            address,
            address,
            List.of(new SyncIdentity.ControlVm("c1", "norte-a", CONTROL)),
            List.of(),
            0),
        clock,
        leads ? leader : new NoLeaderSource(),
        channels,
        () -> 0,
        5_000);
  }

  /** Connections to the source were refused for a while, as those to a killed process are. */
  @Test
  public void viewIsConfirmedSoonAfterTheSourceCanBeReachedAgain() throws Exception {
    try (PeerChannels controlChannels = new PeerChannels();
        PeerChannels entryChannels = new PeerChannels();
        SyncNode control = node("c1", CONTROL, true, controlChannels);
        SyncNode entry = node("e1", ENTRY, false, entryChannels)) {
      control.start();
      entry.start();
      pause(OUTAGE_MS);
      Server server =
          NettyServerBuilder.forAddress(new InetSocketAddress(CONTROL.host(), CONTROL.port()))
              .addService(control.service())
              .build()
              .start();
      try {
        long reachableAtMs = clock.millis();
        while (!entry.configurationView().isInForce()) {
          long elapsedMs = clock.millis() - reachableAtMs;
          assertTrue(elapsedMs < IN_FORCE_MS, "no confirmation " + elapsedMs + " ms after that");
          pause(10);
        }
      } finally {
        server.shutdownNow();
      }
    }
  }

  private static void pause(long durationMs) throws InterruptedException {
    new CountDownLatch(1).await(durationMs, TimeUnit.MILLISECONDS);
  }
}
