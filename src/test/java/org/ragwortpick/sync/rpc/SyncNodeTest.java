package org.ragwortpick.sync.rpc;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.logging.RecordedLines;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.NoLeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against records or revisions that are lost between real gRPC servers and clients. */
public final class SyncNodeTest {

  private static final long WAIT_MS = 15_000;
  private static final long CHECK_MS = 20;
  private static final int LARGE_TEXT_BYTES = 200_000;

  private final Clock clock = new MonotonicClock();
  private final FakeLeader.Committed committed = new FakeLeader.Committed();

  /** Port below the range from which the system assigns ports to outgoing connections. */
  private static final int PEER_PORT = 7300;

  private final List<AutoCloseable> opened = new ArrayList<>();
  private SyncNode control;
  private SyncNode entry;
  private SyncNode relayed;
  private int addresses;

  /** Starts a control VM, an entry VM that polls it, and one that can reach the entry VM only. */
  @BeforeMethod
  public void openThreeVms() throws IOException {
    FakeLeader leader = new FakeLeader(committed, clock::millis);
    leader.setLeadership(true, 1, "c1");
    HostPort controlAddress = freeAddress();
    HostPort entryAddress = freeAddress();
    HostPort unreachableAddress = freeAddress();
    SyncIdentity.ControlVm reachable = new SyncIdentity.ControlVm("c1", "norte-a", controlAddress);
    SyncIdentity.ControlVm unreachable =
        new SyncIdentity.ControlVm("c1", "norte-a", unreachableAddress);
    control = open("c1", controlAddress, leader, reachable, List.of());
    entry = open("e1", entryAddress, new NoLeaderSource(), reachable, List.of());
    relayed = open("e2", freeAddress(), new NoLeaderSource(), unreachable, List.of(entryAddress));
  }

  @AfterMethod
  public void close() throws Exception {
    for (AutoCloseable closeable : opened) {
      closeable.close();
    }
    opened.clear();
  }

  @Test
  public void changesReachAllVms() throws InterruptedException {
    long revision = committed.commit("dataCentre/norte-b", "\"OUT\"");
    await("all VMs ready", () -> vmsReady(control) && vmsReady(entry) && vmsReady(relayed));
    await("revision", () -> relayed.configurationView().current().revision() == revision);
    assertEquals(relayed.configurationView().current().stateOf("norte-b"), DataCentreState.OUT);
    assertTrue(relayed.configurationView().isInForce());
    relayed
        .upstreamDirectory()
        .announce(TestUpstreams.upstream("u1", 1, 1, UpstreamState.READY, 3));
    await("upstream", () -> control.upstreamDirectory().upstreams("tutor-lm").size() == 1);
    assertEquals(control.upstreamDirectory().find("u1").orElseThrow().load(), 4);
    await("loss", () -> control.upstreamDirectory().upstreams("tutor-lm").isEmpty());
    assertEquals(control.upstreamDirectory().find("u1").orElseThrow().state(), UpstreamState.LOST);
    assertEquals(entry.addressResponses().preferredFor("caller").addresses().size(), 3);
  }

  /** The changes take about seven parts, also over the relay. */
  @Test
  public void largeConfigurationReachesAllVms() throws InterruptedException {
    byte[] bytes = new byte[LARGE_TEXT_BYTES];
    new Random(1).nextBytes(bytes);
    committed.commit("text", Base64.getEncoder().encodeToString(bytes));
    long revision = committed.commit("dataCentre/norte-b", "\"OUT\"");
    try (RecordedLines updates =
        new RecordedLines(SyncClient.class.getName(), "configuration updated")) {
      for (SyncNode node : List.of(control, entry, relayed)) {
        await(
            "revision",
            () ->
                node.configurationView().isInForce()
                    && node.configurationView().current().revision() == revision);
      }
      assertTrue(
          updates.lines().stream()
              .anyMatch(line -> Integer.parseInt(String.valueOf(line.get("parts"))) > 1),
          "lines: " + updates.lines());
    }
  }

  private static boolean vmsReady(SyncNode node) {
    return node.vmDirectory().vms().stream().filter(vm -> vm.state() == VmState.READY).count() == 3;
  }

  private SyncNode open(
      String vm,
      HostPort address,
      LeaderSource leader,
      SyncIdentity.ControlVm controlVm,
      List<HostPort> relays)
      throws IOException {
    SyncIdentity identity =
        new SyncIdentity(
            vm,
            1,
            "norte-a",
            new HostPort("127.0.0.1", address.port()),
            address,
            List.of(controlVm),
            relays,
            0);
    PeerChannels channels = new PeerChannels();
    SyncNode node = new SyncNode(identity, clock, leader, channels, () -> 0, 5_000);
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
            .addService(node.service())
            .build()
            .start();
    opened.add(node);
    opened.add(server::shutdownNow);
    opened.add(channels);
    node.start();
    return node;
  }

  /**
   * Returns an address that nothing else binds. A port found free may become the local port of an
   * outgoing connection before it is bound, which made this test fail once in CI.
   */
  private HostPort freeAddress() {
    addresses++;
    return new HostPort("127.74.1." + addresses, PEER_PORT);
  }

  private void await(String what, BooleanSupplier condition) throws InterruptedException {
    long deadlineMs = clock.millis() + WAIT_MS;
    CountDownLatch never = new CountDownLatch(1);
    while (!condition.getAsBoolean()) {
      assertTrue(clock.millis() < deadlineMs, "timed out waiting for: " + what);
      assertTrue(!never.await(CHECK_MS, TimeUnit.MILLISECONDS));
    }
  }
}
