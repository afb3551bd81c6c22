package org.ragwortpick.forward;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.undertow.server.DefaultByteBufferPool;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragwortpick.batch.StageRunner;
import org.ragwortpick.batch.StageTicket;
import org.ragwortpick.batch.StageWork;
import org.ragwortpick.batch.SubmissionEnd;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.http.BoundedSend;
import org.ragwortpick.entry.http.EntryServer;
import org.ragwortpick.entry.http.ReadDelay;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.policy.budget.RatioRetryBudget;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.rollout.TrafficFixture;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Forwarding server on the loopback interface with one route of each request kind. Tests announce
 * its upstreams.
 */
final class ForwardTestServer implements AutoCloseable {

  static final RoutingHeaders HEADERS = TestHeaders.NAMES;

  /** Duration of a call for the stage of the staged route. */
  static final double STAGE_MS = 100;

  /** Longer than a test takes on a busy machine; requests state shorter timeouts. */
  static final long ROUTE_TIMEOUT_MS = 10_000;

  /** Timeout of requests for which a test states none, longer than a busy machine takes. */
  static final long REQUEST_TIMEOUT_MS = 5_000;

  private static final long PAUSE_MS = 5_000;

  private final AnnouncedUpstreams upstreams = new AnnouncedUpstreams();
  private final TestStreams streams = new TestStreams(upstreams::of);
  private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, 16 * 1024);
  private final XnioWorker worker;
  private final HttpCallClient callClient;
  private final HttpCallClient peerClient;
  private final UpstreamPaths paths;
  private final RequestedPauses pauses;
  private final EntryServer server;
  private final HttpClient client = HttpClient.newHttpClient();
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final AtomicInteger submissions = new AtomicInteger();
  private final AtomicInteger abandonments = new AtomicInteger();
  private volatile List<VmRecord> peers = List.of();
  private volatile int senderRank;
  private volatile boolean accepting = true;
  private volatile long remainingMs = Long.MAX_VALUE;
  private volatile Runnable produceStages = () -> {};
  private volatile Configuration configuration = ForwardTestRoutes.configuration();
  private volatile LongSupplier confirmedAtMs;
  private volatile boolean confirmedSinceResume = true;

  ForwardTestServer(ResponseMemory memory) throws Exception {
    this(memory, new MonotonicClock());
  }

  /** Starts a server on a clock that a test may pause and advance; timers run in real time. */
  ForwardTestServer(ResponseMemory memory, Clock clock) throws Exception {
    confirmedAtMs = clock::millis;
    OptionMap options = OptionMap.create(Options.WORKER_IO_THREADS, 1);
    worker = Xnio.getInstance().createWorker(options);
    paths = new UpstreamPaths(upstreams::of, () -> Set.of("s1"), clock);
    callClient = new HttpCallClient(worker, buffers, clock, 300, 5_000, 9, paths);
    peerClient = new HttpCallClient(worker, buffers, clock, 300, 5_000, 9);
    UpstreamEstimates estimates = new UpstreamEstimates(clock);
    InvalidInputLog invalidInput = new InvalidInputLog(clock);
    LeavingUpstreams leaving = new LeavingUpstreams(clock);
    Random random = new Random(7);
    pauses = new RequestedPauses(clock, random);
    NamedLimits limits = LimitsFixture.ofVm(clock, () -> senderRank);
    UpstreamChooser chooser = chooser(random, estimates, leaving, limits, clock);
    LoadReports reports = new LoadReports(HEADERS, estimates, invalidInput);
    UpstreamNotices notices = new UpstreamNotices(HEADERS, leaving, pauses, limits, reports);
    RatioRetryBudget budget = new RatioRetryBudget(clock, 100, 10);
    WorkCounter work = new WorkCounter();
    ReadDelay readDelay = new ReadDelay(worker.getIoThread(), clock);
    server =
        new EntryServer(
            "127.0.0.1",
            0,
            worker,
            buffers,
            new ForwardHandler(
                new ForwardDependencies(
                    HEADERS,
                    new View(),
                    chooser,
                    () -> confirmedSinceResume,
                    TrafficFixture.withoutRollouts(clock),
                    estimates,
                    invalidInput,
                    notices,
                    quarantine(clock),
                    new CountedStages(),
                    () -> false,
                    new ResponseTimes(),
                    new ResultLocator(service -> List.of()),
                    callClient,
                    new Relays(paths, new RelayPeers("vm", () -> peers, random), peerClient, clock),
                    service -> budget,
                    new IoThreadTimers(worker.getIoThread()),
                    clock,
                    readDelay,
                    () -> accepting,
                    () -> true,
                    () -> remainingMs,
                    work,
                    new RunsInFlight(),
                    memory,
                    streams.origins(),
                    streams.versionsSeen(),
                    new ForwardMetrics(registry)),
                random),
            work);
    readDelay.start();
    server.start();
  }

  private static ContentQuarantine quarantine(Clock clock) {
    SyncedCrashEvidence evidence = new SyncedCrashEvidence("vm", new SoftTable(), () -> {});
    return new ContentQuarantine(evidence, "vm", () -> List.of("vm"), clock);
  }

  private UpstreamChooser chooser(
      Random random,
      UpstreamEstimates estimates,
      LeavingUpstreams leaving,
      NamedLimits limits,
      Clock clock) {
    return new UpstreamChooser(
        () -> configuration,
        upstreams::of,
        new LeastLoadedSelector("dc", random),
        estimates,
        leaving,
        pauses,
        limits,
        new RequestRateShare(clock),
        "vm",
        () -> List.of("vm"),
        TrafficFixture.withoutRollouts(clock));
  }

  /** Returns the sum of a counter over all labels, and over those with one label value. */
  double count(String counter, String labelValue) {
    return registry.scrape(name -> name.equals(counter)).stream()
        .flatMap(snapshot -> snapshot.getDataPoints().stream())
        .filter(
            point ->
                labelValue.isEmpty()
                    || point.getLabels().stream()
                        .anyMatch(label -> label.getValue().equals(labelValue)))
        .mapToDouble(point -> ((CounterSnapshot.CounterDataPointSnapshot) point).getValue())
        .sum();
  }

  /**
   * Keeps the server from running for a while, as a process that is suspended or gets no processor
   * time. Returns when it has begun.
   */
  void stall(long durationMs) throws InterruptedException {
    CountDownLatch begun = new CountDownLatch(1);
    worker
        .getIoThread()
        .execute(
            () -> {
              begun.countDown();
              sleep(durationMs);
            });
    begun.await();
  }

  static void sleep(long durationMs) {
    try {
      TimeUnit.MILLISECONDS.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets the server relay requests to addresses of callers. */
  void setPeers(HostPort... addresses) {
    peers = TestPeers.ready(addresses);
  }

  /** Sets the rank of the server among the VMs that may send to a limited upstream. */
  void setSenderRank(int rank) {
    senderRank = rank;
  }

  /** Begins a stop that aborts requests after a time. */
  void stopAfter(long timeoutMs) {
    remainingMs = timeoutMs;
  }

  /** Sends a request with a stage, and waits until the stage is submitted. */
  CompletableFuture<HttpResponse<String>> sendStaged(String id) throws InterruptedException {
    return sendStaged(id, ROUTE_TIMEOUT_MS);
  }

  /** Sends a request with a stage and a timeout, and waits until the stage is submitted. */
  CompletableFuture<HttpResponse<String>> sendStaged(String id, long timeoutMs)
      throws InterruptedException {
    HttpRequest request =
        request("/staged/x", id)
            .header("Parts", "1")
            .setHeader("Time-Left-Ms", Long.toString(timeoutMs))
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    return sendStaged(request);
  }

  /** Sends a request with a stage, and waits until the stage is submitted. */
  CompletableFuture<HttpResponse<String>> sendStaged(HttpRequest request)
      throws InterruptedException {
    int submittedBefore = submissions.get();
    var response = sendAsync(request);
    for (int i = 0; i < 1_000 && submissions.get() == submittedBefore; i++) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    return response;
  }

  /** Ends the last submitted stage with a result. */
  void produceStages() {
    worker.getIoThread().execute(() -> produceStages.run());
  }

  /** Ends the last submitted stage, and does something before the attempt is written. */
  void produceStagesAndBeforeWrite(Runnable action) {
    worker
        .getIoThread()
        .execute(
            () -> {
              produceStages.run();
              action.run();
            });
  }

  /** Ends the last submitted stage, and takes a data centre out before the attempt is written. */
  void produceStagesAndTakeOut(String dataCentre) {
    produceStagesAndBeforeWrite(() -> configuration = withoutDataCentre(dataCentre));
  }

  /** Returns all data centres to service. */
  void returnDataCentres() {
    configuration = ForwardTestRoutes.configuration();
  }

  private static Configuration withoutDataCentre(String dataCentre) {
    Rules rules = new Rules(List.of(), List.of(), 0, Map.of(dataCentre, DataCentreState.OUT));
    return new Configuration(
        2, Inventory.EMPTY, rules, Map.of(), ForwardTestRoutes.configuration().routing());
  }

  /** Returns the number of stages that were submitted; they end by {@link #produceStages}. */
  int submittedStages() {
    return submissions.get();
  }

  /** Returns the number of stages that were abandoned. */
  int abandonedStages() {
    return abandonments.get();
  }

  /** Counts the requests for which a graceful stop would wait. */
  int inFlight() {
    return server.inFlight();
  }

  HostPort address() {
    return server.address();
  }

  /** Returns the upstreams that the server knows. */
  AnnouncedUpstreams upstreams() {
    return upstreams;
  }

  void announce(String id, HostPort address) {
    upstreams.announce(TestUpstreams.ready(id, "s1", address, "dc"));
  }

  void announceIn(String dataCentre, String id, HostPort address) {
    upstreams.announce(TestUpstreams.ready(id, "s1", address, dataCentre));
  }

  /** Announces an upstream that runs many requests at once. */
  void announceLarge(String id, HostPort address) {
    upstreams.announce(TestUpstreams.ready(id, "s1", address, "dc", 64, 1));
  }

  /** Returns what the server knows of streams. */
  TestStreams streams() {
    return streams;
  }

  /** Lets the server see its upstreams for a time, which passes at once. */
  void seeVersionsFor(long durationMs) throws Exception {
    CompletableFuture.runAsync(() -> streams.seeVersionsFor(durationMs), worker.getIoThread())
        .get(REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Records that an upstream requested a pause in a response. */
  void requestPause(String id) {
    pauses.record(upstreams.get(id), PAUSE_MS);
  }

  void withdraw(String id) {
    upstreams.withdraw(id);
  }

  void removeConfiguration() {
    configuration = Configuration.EMPTY;
  }

  /** Replaces the configuration by one that differs in its revision and a data centre. */
  void replaceConfiguration() {
    configuration = withoutDataCentre("other");
  }

  /** Sets when the view of the configuration was confirmed; it is always fresh otherwise. */
  void setConfirmedAtMs(LongSupplier timeMs) {
    confirmedAtMs = timeMs;
  }

  /** Sets whether the view was confirmed since the process resumed from a suspension. */
  void setConfirmedSinceResume(boolean confirmed) {
    confirmedSinceResume = confirmed;
  }

  HttpRequest.Builder request(String path, String id) {
    return HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
        .header("Request-Id", id)
        .header("Access-Code", "k1")
        .header("Time-Left-Ms", Long.toString(REQUEST_TIMEOUT_MS));
  }

  HttpResponse<String> post(String path, String id) throws Exception {
    return send(request(path, id).POST(HttpRequest.BodyPublishers.ofString("body")).build());
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> send(HttpRequest request) throws Exception {
    return BoundedSend.send(client, request);
  }

  @Override
  public void close() {
    server.stop();
    callClient.close();
    peerClient.close();
    worker.shutdownNow();
  }

  private final class View implements ConfigurationView {
    @Override
    public Configuration current() {
      return configuration;
    }

    @Override
    public boolean isInForce() {
      return true;
    }

    @Override
    public long confirmedAtMs() {
      return confirmedAtMs.getAsLong();
    }
  }

  private final class CountedStages implements StageRunner {
    @Override
    public StageTicket submit(StageWork work, Consumer<SubmissionEnd> whenEnded) {
      submissions.incrementAndGet();
      produceStages = () -> whenEnded.accept(new SubmissionEnd.Produced(List.of("h1")));
      return abandonments::incrementAndGet;
    }

    @Override
    public long expectedWaitMs(String service, int priority) {
      return 0;
    }
  }
}
