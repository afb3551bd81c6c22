package org.ragwortpick.vm;

import io.undertow.connector.ByteBufferPool;
import java.time.Clock;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.entry.upstream.PathObserver;
import org.ragwortpick.forward.RelayPeers;
import org.ragwortpick.forward.Relays;
import org.ragwortpick.forward.UpstreamPaths;
import org.ragwortpick.sync.rpc.SyncNode;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Lets an entry VM notice that it is partitioned from upstreams, tell the other VMs, and serve its
 * callers through them.
 */
final class EntryRelays implements AutoCloseable {

  /** Timeout of a connection, and interval of probes, which must not overlap. */
  private static final long CONNECT_TIMEOUT_MS = 300;

  /** Idle time after which a pooled connection is not reused. */
  private static final long MAX_CONNECTION_IDLE_MS = 8_000;

  /** Idle connections to other VMs; a partition ends, and there are few VMs beside upstreams. */
  private static final int MAX_IDLE_CONNECTIONS = 64;

  private final SyncNode sync;
  private final XnioWorker worker;
  private final ByteBufferPool buffers;
  private final Clock clock;
  private final UpstreamPaths paths;
  private final HttpCallClient peerClient;
  private final Relays relays;

  /**
   * Creates an instance that does not probe yet.
   *
   * @param sync sync module of the process
   * @param services names of the configured services
   * @param vm name of the local VM
   * @param worker worker of the process
   * @param buffers pool of read buffers
   * @param clock monotonic clock
   */
  EntryRelays(
      SyncNode sync,
      Supplier<Set<String>> services,
      String vm,
      XnioWorker worker,
      ByteBufferPool buffers,
      Clock clock) {
    this.sync = sync;
    this.worker = worker;
    this.buffers = buffers;
    this.clock = clock;
    this.paths = new UpstreamPaths(sync::announced, services, clock);
    this.peerClient = createClient(MAX_IDLE_CONNECTIONS, PathObserver.NONE);
    RelayPeers peers = new RelayPeers(vm, sync.vmDirectory()::vms, new SplittableRandom());
    this.relays = new Relays(paths, peers, peerClient, clock);
  }

  /**
   * Creates the client for calls to upstreams, which the paths observe.
   *
   * @param maxIdle largest number of idle connections to all upstreams
   * @return the client, closed by the caller
   */
  HttpCallClient createUpstreamClient(int maxIdle) {
    return createClient(maxIdle, paths);
  }

  private HttpCallClient createClient(int maxIdle, PathObserver observer) {
    return new HttpCallClient(
        worker, buffers, clock, CONNECT_TIMEOUT_MS, MAX_CONNECTION_IDLE_MS, maxIdle, observer);
  }

  /**
   * Returns which services the VM reaches.
   *
   * @return the paths, which observe the calls to upstreams
   */
  UpstreamPaths paths() {
    return paths;
  }

  /**
   * Returns the way through other VMs.
   *
   * @return the relays
   */
  Relays relays() {
    return relays;
  }

  /**
   * Starts to probe paths that are suspected to be cut.
   *
   * @param ioThread I/O thread of the process
   * @param upstreamClient client whose calls the paths observe
   */
  void start(XnioIoThread ioThread, HttpCallClient upstreamClient) {
    ioThread.executeAtInterval(
        () -> probe(upstreamClient), CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void probe(HttpCallClient upstreamClient) {
    paths.nextProbes().forEach(upstreamClient::probe);
    sync.lifeCycle().setReachesUpstreams(paths.reachesAny());
  }

  /**
   * Registers the metrics.
   *
   * @param gauges gauges of the process
   */
  void registerMetrics(EntryGauges gauges) {
    gauges.register(
        "ragwortpick_reaches_upstreams",
        "1 unless this VM is known to reach no upstream of any service",
        () -> paths.reachesAny() ? 1 : 0);
  }

  @Override
  public void close() {
    peerClient.close();
  }
}
