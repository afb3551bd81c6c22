package org.ragwortpick.entry.http;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.entry.AddressResponse;
import org.ragwortpick.entry.EntryDependencies;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.entry.EntrySettings;
import org.ragwortpick.entry.ExecutorTimers;
import org.ragwortpick.entry.FakeLedger;
import org.ragwortpick.entry.RequestIds;
import org.ragwortpick.entry.RequestMetrics;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.upstream.UndertowUpstreamClient;
import org.ragwortpick.tracing.JsonSpanExporter;
import org.ragwortpick.tracing.TracingSetup;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Entry server on loopback with fake dependencies and upstreams started by tests. */
final class EntryTestServer implements AutoCloseable {

  static final EntrySettings SETTINGS =
      new EntrySettings(
          64 * 1024, 64 * 1024, 60_000, 3_000, 1_000, 300, 300, 5_000, 5, 4, 100, 1_000);

  private final EntryFakes fakes = new EntryFakes();
  private final MonotonicClock clock = new MonotonicClock();
  private final FakeLedger ledger = new FakeLedger(clock);
  private final List<String> spans = new CopyOnWriteArrayList<>();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final TracingSetup tracing =
      new TracingSetup(new JsonSpanExporter(() -> true, spans::add));
  private final HttpClient http = HttpClient.newHttpClient();
  private final EntryServer server;
  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024);
  private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
  private final XnioWorker worker;
  private final UndertowUpstreamClient client;
  private final List<Undertow> upstreams = new ArrayList<>();

  EntryTestServer() throws Exception {
    this(new MonotonicClock());
  }

  EntryTestServer(Clock clock) throws Exception {
    worker =
        Xnio.getInstance()
            .createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, 2).getMap());
    executor.setRemoveOnCancelPolicy(true);
    client = new UndertowUpstreamClient(worker, buffers, clock, SETTINGS);
    WorkCounter work = new WorkCounter();
    EntryDependencies dependencies =
        new EntryDependencies(
            fakes.policies(),
            fakes,
            fakes,
            () -> fakes.holds(EntryFakes.Condition.STARTS_WORK),
            client,
            new ExecutorTimers(executor),
            clock,
            SETTINGS,
            tracing.tracer(),
            new RequestMetrics(registry),
            work);
    CallerApi api =
        new CallerApi(
            dependencies,
            ledger,
            () -> new AddressResponse(List.of(HostPort.parse("10.0.0.9:8080")), 3),
            new RequestIds("vm-1", 7),
            "vm-1");
    server = new EntryServer("127.0.0.1", 0, worker, buffers, api, work);
    server.start();
  }

  EntryFakes fakes() {
    return fakes;
  }

  FakeLedger ledger() {
    return ledger;
  }

  EntryServer server() {
    return server;
  }

  PrometheusRegistry registry() {
    return registry;
  }

  /** Returns the spans that have ended so far, each as JSON. */
  List<String> spans() {
    tracing.flush();
    return spans;
  }

  HttpResponse<String> send(HttpRequest request) throws Exception {
    return BoundedSend.send(http, request);
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Starts an upstream, announces it to the directory and returns its address. */
  HostPort upstream(String id, String service, HttpHandler handler) {
    Undertow upstream =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(4)
            .setHandler(handler)
            .build();
    upstream.start();
    upstreams.add(upstream);
    InetSocketAddress bound = (InetSocketAddress) upstream.getListenerInfo().get(0).getAddress();
    HostPort address = new HostPort("127.0.0.1", bound.getPort());
    fakes.announce(EntryFakes.upstream(id, address, service, "dc-1"));
    return address;
  }

  HostPort address() {
    return server.address();
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
        .header("Workspace", "w1")
        .header("Deadline-Ms", "3000");
  }

  HttpRequest post(String path, String body) {
    return request(path).POST(HttpRequest.BodyPublishers.ofString(body)).build();
  }

  @Override
  public void close() {
    server.stop();
    client.close();
    upstreams.forEach(Undertow::stop);
    executor.shutdownNow();
    tracing.close();
    worker.shutdownNow();
  }
}
