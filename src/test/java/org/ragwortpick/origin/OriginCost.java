package org.ragwortpick.origin;

import com.sun.management.OperatingSystemMXBean;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.storage.FileDisk;
import org.ragwortpick.consensus.storage.RecordFrames;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.RecordOriginsReply;
import org.ragwortpick.proto.RecordOriginsRequest;
import org.ragwortpick.proto.StoredOrigins;
import org.ragwortpick.proto.StreamOriginStoreGrpc;

/**
 * Measures the bytes of records and the processor time of batches on an entry VM and on a store,
 * each in a process of its own; the results are in docs/design/stream-versions.md.
 */
public final class OriginCost {

  private static final double RECORDS_PER_VM_AND_SECOND = 47;
  private static final long LIFETIME_MS = 90_000;
  private static final String VERSION = "2026.11.3";
  private static final int WARM_UP_S = 5;
  private static final int MEASURED_S = 10;
  private static final int COPIES = 2;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final OperatingSystemMXBean SYSTEM =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();

  private final ScheduledExecutorService loop = ReportingScheduler.singleDaemon("loop");
  private final Clock clock = new MonotonicClock();
  private final Timers timers =
      (delayMs, task) -> {
        var timer = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
      };

  private OriginCost() {}

  /** Measures all sizes, or with the argument {@code store} serves as the store to be measured. */
  public static void main(String[] args) throws Exception {
    if (args.length > 0) {
      serve();
      return;
    }
    printSizes();
    System.out.println(
        "| VMs | stores | batch delay ms | entry core % | entry B/s over TCP |"
            + " store calls/s | store core % | store B/s to disk |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    int[][] sizes = {{9, 3}, {100, 9}, {340, 14}};
    for (long delayMs : new long[] {10, 100, 500}) {
      double entryPercent = new OriginCost().measureEntry(delayMs);
      double entryBytes = new OriginCost().measureBytes(delayMs);
      for (int[] size : sizes) {
        StoreCost store =
            new OriginCost().measureStore((COPIES * size[0] + size[1] - 1) / size[1], delayMs);
        System.out.printf(
            "| %d | %d | %d | %.2f | %.0f | %.0f | %.2f | %.0f |%n",
            size[0],
            size[1],
            delayMs,
            entryPercent,
            entryBytes,
            store.callsPerSecond(),
            store.corePercent(),
            store.diskBytesPerSecond());
      }
    }
    System.exit(0);
  }

  private static void printSizes() {
    for (int count : new int[] {1, 5, 47, 500}) {
      List<OriginRecord> records =
          IntStream.range(0, count)
              .mapToObj(
                  i ->
                      new OriginRecord(
                          OriginKey.of(UUID.randomUUID().toString()).orElseThrow(),
                          VERSION,
                          LIFETIME_MS))
              .toList();
      int message =
          RecordOriginsRequest.newBuilder()
              .addAllVersions(OriginCodec.encode(records))
              .build()
              .getSerializedSize();
      int stored =
          StoredOrigins.newBuilder()
              .setWrittenAtMs(Clock.systemUTC().millis())
              .addAllVersions(OriginCodec.encode(records))
              .build()
              .getSerializedSize();
      System.out.printf(
          "%d records: message of %d bytes, %d bytes with the frame on the disk%n",
          count, message, stored + RecordFrames.HEADER_BYTES);
    }
  }

  /** Measures the processor time of one entry VM that sends to two stores. */
  private double measureEntry(long delayMs) throws Exception {
    try (Store first = new Store();
        Store second = new Store();
        PeerChannels channels = new PeerChannels()) {
      List<HostPort> stores = List.of(first.address, second.address);
      List<RemoteStreamOrigins> vms = List.of(vm(0, stores, channels, delayMs));
      load(vms, WARM_UP_S);
      long startNs = SYSTEM.getProcessCpuTime();
      load(vms, MEASURED_S);
      long spentNs = SYSTEM.getProcessCpuTime() - startNs;
      startNs = SYSTEM.getProcessCpuTime();
      load(List.of(), MEASURED_S);
      long idleNs = SYSTEM.getProcessCpuTime() - startNs;
      return percent(spentNs - idleNs);
    }
  }

  /** Measures the bytes that one entry VM exchanges with two stores, without those of TCP/IP. */
  private double measureBytes(long delayMs) throws Exception {
    AtomicLong bytes = new AtomicLong();
    try (Store first = new Store();
        Store second = new Store();
        PeerChannels channels = new PeerChannels()) {
      List<HostPort> stores = List.of(relay(first.address, bytes), relay(second.address, bytes));
      List<RemoteStreamOrigins> vms = List.of(vm(0, stores, channels, delayMs));
      load(vms, WARM_UP_S);
      long startBytes = bytes.get();
      load(vms, MEASURED_S);
      double bytesPerSecond = (bytes.get() - startBytes) / (double) MEASURED_S;
      awaitLastBatches();
      return bytesPerSecond;
    }
  }

  /** Measures the processor time of one store to which some VMs send, each on a connection. */
  private StoreCost measureStore(int writers, long delayMs) throws Exception {
    List<PeerChannels> connections = new ArrayList<>();
    try (Store store = new Store()) {
      List<RemoteStreamOrigins> vms = new ArrayList<>();
      for (int i = 0; i < writers; i++) {
        PeerChannels channels = new PeerChannels();
        connections.add(channels);
        vms.add(vm(i, List.of(store.address), channels, delayMs));
      }
      load(vms, WARM_UP_S);
      Store.Counts before = store.counts();
      load(vms, MEASURED_S);
      Store.Counts after = store.counts();
      awaitLastBatches();
      return new StoreCost(
          (after.calls() - before.calls()) / (double) MEASURED_S,
          percent(after.cpuNs() - before.cpuNs()),
          (after.diskBytes() - before.diskBytes()) / (double) MEASURED_S);
    } finally {
      connections.forEach(PeerChannels::close);
    }
  }

  private RemoteStreamOrigins vm(
      int index, List<HostPort> stores, PeerChannels channels, long delayMs) {
    GrpcOriginStoreCalls calls = new GrpcOriginStoreCalls(channels, loop);
    return new RemoteStreamOrigins("vm" + index, () -> stores, calls, delayMs, timers, clock);
  }

  private static double percent(long nanos) {
    return 100 * nanos / NANOS_PER_SECOND / MEASURED_S;
  }

  /** Records requests at random moments, in the mean as many as the VMs get. */
  private void load(List<RemoteStreamOrigins> vms, int seconds) throws InterruptedException {
    Random random = new Random(1);
    long startNs = System.nanoTime();
    double nextNs = 0;
    while (nextNs < seconds * NANOS_PER_SECOND) {
      if (vms.isEmpty()) {
        TimeUnit.SECONDS.sleep(seconds);
        return;
      }
      double meanNs = NANOS_PER_SECOND / RECORDS_PER_VM_AND_SECOND / vms.size();
      nextNs -= meanNs * Math.log(1 - random.nextDouble());
      long waitNs = (long) nextNs - (System.nanoTime() - startNs);
      if (waitNs > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNs);
      }
      RemoteStreamOrigins vm = vms.get(random.nextInt(vms.size()));
      loop.execute(() -> vm.record(UUID.randomUUID().toString(), VERSION, LIFETIME_MS));
    }
  }

  /** Batches that are sent after the end would open channels that nobody closes. */
  private static void awaitLastBatches() throws InterruptedException {
    TimeUnit.SECONDS.sleep(1);
  }

  private static HostPort relay(HostPort target, AtomicLong bytes) throws IOException {
    ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    daemon(
        () -> {
          while (true) {
            relay(listener.accept(), target, bytes);
          }
        });
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  private static void relay(Socket client, HostPort target, AtomicLong bytes) throws IOException {
    Socket server = new Socket(target.host(), target.port());
    client.setTcpNoDelay(true);
    server.setTcpNoDelay(true);
    daemon(() -> copy(client.getInputStream(), server.getOutputStream(), bytes));
    daemon(() -> copy(server.getInputStream(), client.getOutputStream(), bytes));
  }

  private static void copy(InputStream from, OutputStream to, AtomicLong bytes) throws IOException {
    byte[] buffer = new byte[16 * 1024];
    for (int count = from.read(buffer); count >= 0; count = from.read(buffer)) {
      to.write(buffer, 0, count);
      bytes.addAndGet(count);
    }
  }

  private static void daemon(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The measurement has ended and closed the connection.
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Runs a store that prints its port, and its counts for each line of the input. */
  private static void serve() throws Exception {
    Path folder = Files.createTempDirectory("origin-cost");
    AtomicLong calls = new AtomicLong();
    OriginStore store =
        new OriginStore(new FileDisk(folder), new MonotonicClock(), Clock.systemUTC());
    store.start();
    var server =
        NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .directExecutor()
            .addService(new CountingServer(store, calls))
            .build()
            .start();
    System.out.println(server.getPort());
    BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    while (input.readLine() != null) {
      long cpuNs = SYSTEM.getProcessCpuTime();
      System.out.println(cpuNs + " " + calls.get() + " " + sizeOf(folder));
    }
    server.shutdownNow();
    store.close();
    for (Path file : files(folder)) {
      Files.delete(file);
    }
    Files.delete(folder);
    System.exit(0);
  }

  private static List<Path> files(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      return files.toList();
    }
  }

  private static long sizeOf(Path folder) throws IOException {
    long bytes = 0;
    for (Path file : files(folder)) {
      bytes += Files.size(file);
    }
    return bytes;
  }

  /** Task that may fail when its connection is closed. */
  private interface IoTask {
    void run() throws IOException;
  }

  /**
   * Results of one store.
   *
   * @param callsPerSecond calls that it replied to
   * @param corePercent processor time in percent of a core
   * @param diskBytesPerSecond bytes that it wrote
   */
  private record StoreCost(double callsPerSecond, double corePercent, double diskBytesPerSecond) {}

  /** Service that counts its calls. */
  private static final class CountingServer
      extends StreamOriginStoreGrpc.StreamOriginStoreImplBase {

    private final OriginStoreServer server;
    private final AtomicLong calls;

    CountingServer(OriginStore store, AtomicLong calls) {
      this.server = new OriginStoreServer(store);
      this.calls = calls;
    }

    @Override
    public void record(RecordOriginsRequest request, StreamObserver<RecordOriginsReply> reply) {
      calls.incrementAndGet();
      server.record(request, reply);
    }
  }

  /** Store in a process of its own. */
  private static final class Store implements AutoCloseable {

    private final Process process;
    private final BufferedReader output;
    private final HostPort address;

    Store() throws IOException {
      process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Xmx80m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  OriginCost.class.getName(),
                  "store")
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      output =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      address = new HostPort("127.0.0.1", Integer.parseInt(output.readLine()));
    }

    Counts counts() throws IOException {
      process.getOutputStream().write('\n');
      process.getOutputStream().flush();
      String[] fields = output.readLine().split(" ");
      return new Counts(
          Long.parseLong(fields[0]), Long.parseLong(fields[1]), Long.parseLong(fields[2]));
    }

    @Override
    public void close() throws IOException {
      process.getOutputStream().close();
    }

    /**
     * Counts since the start of the process.
     *
     * @param cpuNs processor time in nanoseconds
     * @param calls calls that it replied to
     * @param diskBytes size of its files
     */
    record Counts(long cpuNs, long calls, long diskBytes) {}
  }
}
