package org.ragwortpick.consensus;

import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.peer.PeerChannels;

/** Runs the consensus hosts of several VMs in this process, with real files and loopback gRPC. */
final class LoopbackCluster implements AutoCloseable {

  static final String GROUP = "config";

  private final Clock clock = new MonotonicClock();
  private final Path root;

  /** Below the ephemeral port range of the system. */
  private static final int PEER_PORT = 7300;

  /** Last host number; a separate loopback address per VM avoids port conflicts. */
  private static final AtomicInteger LAST_HOST_NUMBER = new AtomicInteger();

  private final long snapshotLogBytes;
  private final Supplier<StateMachine> machines;
  private final Map<String, HostPort> addresses = new TreeMap<>();
  private final Map<String, RunningVm> runningVms = new TreeMap<>();

  LoopbackCluster(Path root, long snapshotLogBytes, Supplier<StateMachine> machines, String... vms)
      throws IOException {
    this.root = root;
    this.snapshotLogBytes = snapshotLogBytes;
    this.machines = machines;
    for (String vm : vms) {
      addresses.put(vm, new HostPort("127.75.1." + LAST_HOST_NUMBER.incrementAndGet(), PEER_PORT));
    }
  }

  ConsensusOptions options(String vm) {
    return new ConsensusOptions(
        vm, "test", root.resolve(vm), addresses, snapshotLogBytes, false, 0);
  }

  List<String> bootstrap(String vm) throws IOException {
    try (PeerChannels channels = new PeerChannels()) {
      return DataFolder.bootstrap(options(vm), Set.of(GROUP), channels, new Random(1));
    }
  }

  void start(String vm) throws IOException {
    PeerChannels channels = new PeerChannels();
    StateMachine machine = machines.get();
    ConsensusHost host = ConsensusHost.open(options(vm), Map.of(GROUP, machine), channels, clock);
    HostPort address = addresses.get(vm);
    Server server =
        NettyServerBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
            .maxInboundMessageSize(64 * 1024 * 1024)
            .addService(host.service())
            .build()
            .start();
    host.start();
    runningVms.put(vm, new RunningVm(host, server, channels, machine));
  }

  void stop(String vm) throws IOException {
    RunningVm running = runningVms.remove(vm);
    running.server.shutdownNow();
    running.host.close();
    running.channels.close();
  }

  void loseDisk(String vm) throws IOException {
    try (Stream<Path> files = Files.walk(root.resolve(vm))) {
      files.sorted(Comparator.reverseOrder()).forEach(LoopbackCluster::delete);
    }
  }

  ConsensusGroup group(String vm) {
    return runningVms.get(vm).host.group(GROUP);
  }

  StateMachine machine(String vm) {
    return runningVms.get(vm).machine;
  }

  ConsensusGroup awaitLeader() {
    await("a leader", () -> leader().isPresent());
    return leader().orElseThrow();
  }

  Optional<ConsensusGroup> leader() {
    return runningVms.values().stream()
        .map(running -> running.host.group(GROUP))
        .filter(group -> group.leadership().leader())
        .findFirst();
  }

  void awaitVoters(int count) {
    await(
        count + " voters on all VMs",
        () ->
            runningVms.values().stream()
                .allMatch(running -> running.host.group(GROUP).status().voters().size() == count));
  }

  /** Proposes to the leader; retries after each error, as a client with a request id would. */
  AppliedEntry propose(String command) {
    long deadlineMs = clock.millis() + 20_000;
    while (clock.millis() < deadlineMs) {
      ConsensusGroup leader = awaitLeader();
      var outcome =
          leader
              .propose(command.getBytes(StandardCharsets.UTF_8))
              .toCompletableFuture()
              .orTimeout(20, TimeUnit.SECONDS)
              .join();
      if (outcome.isRight()) {
        return outcome.get();
      }
    }
    throw new AssertionError("no commit of " + command);
  }

  void await(String what, BooleanSupplier condition) {
    long deadlineMs = clock.millis() + 20_000;
    CountDownLatch never = new CountDownLatch(1);
    while (!condition.getAsBoolean()) {
      if (clock.millis() > deadlineMs) {
        throw new AssertionError("timed out waiting for " + what + ": " + statuses());
      }
      try {
        never.await(5, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  List<GroupStatus> statuses() {
    return runningVms.values().stream().map(running -> running.host.group(GROUP).status()).toList();
  }

  @Override
  public void close() throws IOException {
    for (String vm : List.copyOf(runningVms.keySet())) {
      stop(vm);
    }
  }

  private static void delete(Path file) {
    try {
      Files.delete(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private record RunningVm(
      ConsensusHost host, Server server, PeerChannels channels, StateMachine machine) {}
}
