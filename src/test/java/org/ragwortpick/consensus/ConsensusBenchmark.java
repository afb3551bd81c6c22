package org.ragwortpick.consensus;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.ragwortpick.common.MonotonicClock;

/**
 * Measures commits of three replicas and restarts of one replica, with real files and loopback
 * gRPC. The argument is the folder for the files.
 */
public final class ConsensusBenchmark {

  private static final int[] PROPOSERS = {1, 16, 256};
  private static final int[] ENTRIES = {1_000, 10_000, 100_000};
  private static final long DURATION_MS = 5_000;
  private static final int COMMAND_BYTES = 100;

  private final MonotonicClock clock = new MonotonicClock();

  /** Clock for latencies, for which the milliseconds of the monotonic clock are too coarse. */
  private final Clock microsecondClock = Clock.systemUTC();

  private final Path folder;

  private ConsensusBenchmark(Path folder) {
    this.folder = folder;
  }

  public static void main(String[] arguments) throws IOException {
    ConsensusBenchmark benchmark = new ConsensusBenchmark(Path.of(arguments[0]));
    benchmark.measureCommits();
    for (int entries : ENTRIES) {
      benchmark.measureRestart(entries);
    }
  }

  private LoopbackCluster cluster(String name, String... vms) throws IOException {
    LoopbackCluster cluster =
        new LoopbackCluster(
            Files.createTempDirectory(folder, name), 8L << 20, ListStateMachine::new, vms);
    cluster.bootstrap(vms[0]);
    for (String vm : vms) {
      cluster.start(vm);
    }
    cluster.awaitVoters(vms.length);
    return cluster;
  }

  private void measureCommits() throws IOException {
    try (LoopbackCluster cluster = cluster("commits", "a", "b", "c")) {
      ConsensusGroup leader = cluster.awaitLeader();
      measure(leader, 16);
      for (int proposers : PROPOSERS) {
        ConcurrentHistogram histogram = measure(leader, proposers);
        System.out.printf(
            "%d proposers: %d commits/s, latency p50 %d us, p99 %d us, max %d us%n",
            proposers,
            histogram.getTotalCount() * 1_000 / DURATION_MS,
            histogram.getValueAtPercentile(50),
            histogram.getValueAtPercentile(99),
            histogram.getMaxValue());
      }
    }
  }

  /** Runs closed-loop proposers: each proposes again as soon as its last command is applied. */
  private ConcurrentHistogram measure(ConsensusGroup leader, int proposers) {
    ConcurrentHistogram histogram = new ConcurrentHistogram(3);
    long endMs = clock.millis() + DURATION_MS;
    CompletableFuture<?>[] all = new CompletableFuture<?>[proposers];
    for (int i = 0; i < proposers; i++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      all[i] = done;
      proposeUntil(leader, endMs, histogram, done);
    }
    CompletableFuture.allOf(all).orTimeout(60, TimeUnit.SECONDS).join();
    return histogram;
  }

  private void proposeUntil(
      ConsensusGroup leader, long endMs, ConcurrentHistogram histogram, CompletableFuture<?> done) {
    Instant start = microsecondClock.instant();
    leader
        .propose("x".repeat(COMMAND_BYTES).getBytes(StandardCharsets.UTF_8))
        .whenCompleteAsync(
            (outcome, error) -> {
              if (error != null || outcome.isLeft()) {
                done.completeExceptionally(new AssertionError(String.valueOf(outcome), error));
              } else if (clock.millis() >= endMs) {
                done.complete(null);
              } else {
                histogram.recordValue(
                    Math.max(0, ChronoUnit.MICROS.between(start, microsecondClock.instant())));
                proposeUntil(leader, endMs, histogram, done);
              }
            });
  }

  private void measureRestart(int entries) throws IOException {
    LoopbackCluster cluster = cluster("restart", "a");
    ConsensusGroup leader = cluster.awaitLeader();
    CompletableFuture<?>[] all = new CompletableFuture<?>[entries];
    for (int i = 0; i < entries; i++) {
      byte[] command = "x".repeat(COMMAND_BYTES).getBytes(StandardCharsets.UTF_8);
      all[i] = leader.propose(command).toCompletableFuture();
    }
    CompletableFuture.allOf(all).orTimeout(60, TimeUnit.SECONDS).join();
    // A due snapshot is taken after the completion of the commands that it includes.
    leader.propose(new byte[1]).toCompletableFuture().join();
    GroupStatus status = leader.status();
    cluster.stop("a");
    long bytes = size(cluster.options("a").dataFolder());
    long startMs = clock.millis();
    cluster.start("a");
    long openedMs = clock.millis();
    cluster.await("leadership", () -> cluster.leader().isPresent());
    System.out.printf(
        "%d entries: folder %d KiB, snapshot %d KiB, opened in %d ms, leads again after %d ms%n",
        entries,
        bytes / 1024,
        status.snapshotBytes() / 1024,
        openedMs - startMs,
        clock.millis() - startMs);
    cluster.close();
  }

  private static long size(Path path) throws IOException {
    try (Stream<Path> files = Files.walk(path)) {
      return files.filter(Files::isRegularFile).mapToLong(file -> file.toFile().length()).sum();
    }
  }
}
