package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.peer.PeerChannels;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against calls stuck at a follower or a silent peer, and reads without the leader lease.
 */
public final class RemoteExecutionLedgerTest {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long TIMEOUT_MS = 5_000;
  private static final List<String> NAMES = LedgerGroups.names(2);

  private final Clock clock = new MonotonicClock();
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
  private final PeerChannels channels = new PeerChannels();
  private final List<Server> servers = new ArrayList<>();
  private final List<DirectGroup> groups = new ArrayList<>();

  private HostPort start(Optional<HostPort> leader) throws IOException {
    return start(leader, 0);
  }

  private HostPort start(Optional<HostPort> leader, int port) throws IOException {
    List<LedgerGroup> served = new ArrayList<>();
    for (String name : NAMES) {
      ExecutionStateMachine machine = new ExecutionStateMachine();
      DirectGroup group = new DirectGroup(machine, clock);
      leader.ifPresent(address -> group.setLeadership(false, 1, "leader"));
      groups.add(group);
      served.add(new LedgerGroup(name, group, machine));
    }
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress(LOOPBACK, port))
            .addService(new LedgerServer(served, clock, clock, scheduler, vm -> leader))
            .build()
            .start();
    servers.add(server);
    return new HostPort(LOOPBACK, server.getPort());
  }

  private RemoteExecutionLedger client(HostPort... addresses) {
    return new RemoteExecutionLedger(channels, List.of(addresses), NAMES, clock, scheduler);
  }

  private static BeginRequest begin(String workspace) {
    return new BeginRequest(
        new ExecutionKey(workspace, "k"),
        "raspored",
        "d",
        "vm1",
        "a-" + workspace,
        60_000,
        OptionalLong.empty());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    servers.forEach(Server::shutdownNow);
    servers.clear();
    groups.clear();
  }

  @Test
  public void followsLeaderAddressFromFollower() throws Exception {
    HostPort leader = start(Optional.empty());
    HostPort follower = start(Optional.of(leader));
    RemoteExecutionLedger ledger = client(follower);
    for (String workspace : List.of("w1", "w2", "w3", "w4")) {
      BeginRequest request = begin(workspace);
      assertTrue(
          ledger
              .begin(request, TIMEOUT_MS)
              .toCompletableFuture()
              .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
              .get()
              .granted());
      assertEquals(
          ledger
              .status(request.key(), TIMEOUT_MS)
              .toCompletableFuture()
              .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
              .get()
              .get()
              .attemptId(),
          request.attemptId());
    }
  }

  @Test
  public void retriesAtAnotherPeerAfterSilence() throws Exception {
    HostPort leader = start(Optional.empty());
    try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName(LOOPBACK))) {
      RemoteExecutionLedger ledger = client(new HostPort(LOOPBACK, silent.getLocalPort()), leader);
      assertTrue(
          ledger
              .begin(begin("w1"), TIMEOUT_MS)
              .toCompletableFuture()
              .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
              .get()
              .granted());
    }
  }

  /** The backoff of a channel after three refused connections would be one to three seconds. */
  @Test
  public void reachesRestartedLeaderWithinOneSecond() throws Exception {
    HostPort address = start(Optional.empty(), 0);
    servers.get(0).shutdownNow().awaitTermination();
    CompletableFuture<Long> startedAtMs = new CompletableFuture<>();
    scheduler.schedule(
        () -> {
          try {
            start(Optional.empty(), address.port());
            startedAtMs.complete(clock.millis());
          } catch (IOException e) {
            startedAtMs.completeExceptionally(e);
          }
        },
        3,
        TimeUnit.SECONDS);
    assertTrue(
        client(address)
            .begin(begin("w1"), 2 * TIMEOUT_MS)
            .toCompletableFuture()
            .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .get()
            .granted());
    long delayMs = clock.millis() - startedAtMs.get();
    assertTrue(delayMs < 1_000, "reached " + delayMs + " ms after the start");
  }

  @Test
  public void leaderWithoutLeaseDoesNotServeReads() throws Exception {
    HostPort leader = start(Optional.empty());
    groups.forEach(group -> group.setConfirmationAgeMs(400));
    assertEquals(
        client(leader)
            .status(new ExecutionKey("w1", "k"), 300)
            .toCompletableFuture()
            .get(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .getLeft(),
        new LedgerError.Unreachable());
  }
}
