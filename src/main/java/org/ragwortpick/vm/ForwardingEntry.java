package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.batch.CollectorRole;
import org.ragwortpick.batch.RemoteStageRunner;
import org.ragwortpick.batch.StageCollector;
import org.ragwortpick.batch.StageCollectors;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.SuspensionDetector;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.edge.EdgeProtocol;
import org.ragwortpick.entry.Timers;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.entry.http.EntryServer;
import org.ragwortpick.entry.http.ReadDelay;
import org.ragwortpick.entry.upstream.HttpCallClient;
import org.ragwortpick.forward.ForwardDependencies;
import org.ragwortpick.forward.ForwardHandler;
import org.ragwortpick.forward.ForwardMetrics;
import org.ragwortpick.forward.HttpBatchTransport;
import org.ragwortpick.forward.InvalidInputLog;
import org.ragwortpick.forward.IoThreadTimers;
import org.ragwortpick.forward.LoadReports;
import org.ragwortpick.forward.ResponseMemory;
import org.ragwortpick.forward.ResponseTimes;
import org.ragwortpick.forward.ResultLocator;
import org.ragwortpick.forward.RunsInFlight;
import org.ragwortpick.forward.UpstreamChooser;
import org.ragwortpick.forward.UpstreamNotices;
import org.ragwortpick.forward.VersionsSeen;
import org.ragwortpick.origin.RemoteStreamOrigins;
import org.ragwortpick.origin.StreamOrigins;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.budget.SharedRetryConstant;
import org.ragwortpick.policy.limit.LeavingUpstreams;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestRateShare;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.policy.limit.UpstreamEstimates;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.select.EvenLoadSelector;
import org.ragwortpick.policy.select.LeastLoadedSelector;
import org.ragwortpick.policy.select.RendezvousAffinitySelector;
import org.ragwortpick.policy.select.ReportedServiceSelector;
import org.ragwortpick.rollout.RolloutMetrics;
import org.ragwortpick.rollout.VersionTraffic;
import org.ragwortpick.routing.RoutingTable;
import org.ragwortpick.routing.ServiceProfile;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.ViewFreshness;
import org.ragwortpick.sync.VmState;
import org.ragwortpick.sync.rpc.SyncNode;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Entry role of a forwarding deployment. All state of requests and of the stage collectors is
 * confined to one I/O thread, so that no locks are needed.
 */
final class ForwardingEntry implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ForwardingEntry.class);

  private static final int BUFFER_SIZE_BYTES = 16 * 1024;
  private static final long EXPIRY_INTERVAL_MS = 5_000;
  private static final long OBSERVE_INTERVAL_MS = 500;
  private static final long CLOSE_TIMEOUT_MS = 500;

  /**
   * Load, as a fraction of the slots, by which the engine of a prefix may exceed the least loaded
   * one.
   */
  private static final double AFFINITY_MARGIN = 0.15;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_SIZE_BYTES);
  private final XnioWorker worker;
  private final EntryRelays relays;
  private final HttpCallClient httpCallClient;
  private final SyncNode sync;
  private final EntryVms entryVms;
  private final Clock clock;
  private final ViewFreshness freshness;
  private final SharedRetryConstant retryConstant;
  private final CollectorRole collectorRole;
  private final VersionTraffic versions;
  private final VersionsSeen versionsSeen;
  private final UpstreamChooser chooser;
  private final Timers timers;
  private final DescriptorBudget descriptors;
  private final UpstreamEstimates estimates;
  private final InvalidInputLog invalidInput;
  private final LeavingUpstreams leaving;
  private final RequestedPauses pauses;
  private final NamedLimits limits;
  private final UpstreamNotices notices;
  private final ContentQuarantine quarantine;
  private final PathAdmission paths;
  private final RemoteStageRunner stages;
  private final StreamOrigins origins;
  private final ReadDelay readDelay;
  private final ResponseMemory responseMemory = ResponseMemory.ofHeap();
  private final RunsInFlight runsInFlight = new RunsInFlight();
  private final WorkCounter work;
  private final EntryServer server;
  private final Undertow readiness;
  private final XnioIoThread ioThread;

  /**
   * Creates the role without listening yet.
   *
   * @param settings settings of the process
   * @param protocol edge protocol
   * @param sync sync module of the process
   * @param seeds supplies the peer addresses of the control VMs in the settings
   * @param channels channels to the other VMs
   * @param clock monotonic clock
   * @param registry metrics
   * @param work counter of the requests in flight
   * @param remainingMs time until a stop aborts requests in flight in milliseconds; {@link
   *     Long#MAX_VALUE} without a stop
   * @throws IOException if the worker thread cannot be created
   */
  ForwardingEntry(
      ForwardingSettings settings,
      EdgeProtocol protocol,
      SyncNode sync,
      Supplier<List<HostPort>> seeds,
      PeerChannels channels,
      Clock clock,
      PrometheusRegistry registry,
      WorkCounter work,
      LongSupplier remainingMs)
      throws IOException {
    ForwardingSettings.EntryRole role = settings.entry().orElseThrow();
    this.sync = sync;
    this.entryVms = new EntryVms(sync.vmDirectory(), this::configuration);
    this.clock = clock;
    this.work = work;
    this.worker = EntryWorker.create();
    this.ioThread = worker.getIoThread();
    this.timers = new IoThreadTimers(ioThread);
    this.descriptors = DescriptorBudget.of(role.maxFileDescriptors());
    String vm = settings.peerAddress().toString();
    this.relays = new EntryRelays(sync, this::configuredServices, vm, worker, buffers, clock);
    this.httpCallClient = relays.createUpstreamClient(descriptors.idleUpstreamConnections());
    this.estimates = new UpstreamEstimates(clock);
    this.invalidInput = new InvalidInputLog(clock);
    this.leaving = new LeavingUpstreams(clock);
    RandomGenerator random = new SplittableRandom(new SecureRandom().nextLong());
    this.pauses = new RequestedPauses(clock, random);
    this.limits = createLimits(vm);
    this.notices = createNotices(protocol);
    SuspensionDetector suspensions = new SuspensionDetector(clock, Clock.systemUTC());
    this.freshness = new ViewFreshness(sync.configurationView(), suspensions, clock);
    this.retryConstant =
        new SharedRetryConstant(
            role.retryConstant(),
            vm,
            entryVms::names,
            freshness::ageMs,
            suspensions::resumedAtMs,
            clock);
    this.collectorRole = createCollectorRole(vm);
    this.versions = createVersions(random, registry);
    this.versionsSeen =
        new VersionsSeen(this::configuredServices, sync::announced, freshness::ageMs, clock);
    this.chooser = createChooser(settings, random);
    this.quarantine = new ContentQuarantine(sync.crashEvidence(), vm, entryVms::names, clock);
    this.paths =
        new PathAdmission(
            role.overloadControl().inForce(estimates.workTimes()::anyReported), clock);
    this.stages = createStages(settings, protocol, channels);
    ControlVms controlVms = new ControlVms(sync.vmDirectory(), seeds);
    this.origins = new RemoteStreamOrigins(vm, controlVms, channels, ioThread, timers, clock);
    this.readDelay = new ReadDelay(ioThread, clock);
    this.server =
        new EntryServer(
            role.callerAddress().host(),
            role.callerAddress().port(),
            worker,
            buffers,
            new ForwardHandler(dependencies(role, protocol, registry, work, remainingMs), random),
            work);
    this.readiness = createReadinessServer(role, protocol, registry);
  }

  private CollectorRole createCollectorRole(String vm) {
    return new CollectorRole(
        vm,
        sync.vmDirectory()::vms,
        this::isInService,
        relays.paths()::reaches,
        freshness::ageMs,
        clock);
  }

  private VersionTraffic createVersions(RandomGenerator random, PrometheusRegistry registry) {
    VersionTraffic traffic =
        new VersionTraffic(
            this::configuration,
            freshness::ageMs,
            sync::announced,
            clock,
            random,
            new RolloutMetrics(registry));
    sync.versionReports().setOwn(traffic::reports);
    return traffic;
  }

  private UpstreamNotices createNotices(EdgeProtocol protocol) {
    LoadReports reports = new LoadReports(protocol.headers(), estimates, invalidInput);
    return new UpstreamNotices(protocol.headers(), leaving, pauses, limits, reports);
  }

  private NamedLimits createLimits(String vm) {
    return new NamedLimits(
        sync.upstreamLimits(),
        new RequestRateShare(clock),
        upstream -> entryVms.rankAmongSenders(vm, upstream),
        clock);
  }

  private RemoteStageRunner createStages(
      ForwardingSettings settings, EdgeProtocol protocol, PeerChannels channels) {
    HttpBatchTransport transport =
        new HttpBatchTransport(
            httpCallClient,
            protocol.batches(),
            protocol.headers(),
            notices,
            this::tryPermit,
            versions,
            clock);
    return new RemoteStageRunner(
        settings.peerAddress(),
        sync.vmDirectory()::vms,
        new StageCollectors(service -> createCollector(service, transport)),
        freshness::ageMs,
        channels,
        ioThread,
        timers,
        clock,
        paths);
  }

  private UpstreamChooser createChooser(ForwardingSettings settings, RandomGenerator random) {
    return new UpstreamChooser(
        this::configuration,
        sync::announced,
        new ReportedServiceSelector(
            estimates.workTimes()::isReported,
            new EvenLoadSelector(AFFINITY_MARGIN, random),
            new RendezvousAffinitySelector(
                new LeastLoadedSelector(settings.dataCentre(), random), AFFINITY_MARGIN)),
        estimates,
        leaving,
        pauses,
        limits,
        new RequestRateShare(clock),
        settings.peerAddress().toString(),
        entryVms::names,
        versions);
  }

  private Undertow createReadinessServer(
      ForwardingSettings.EntryRole role, EdgeProtocol protocol, PrometheusRegistry registry) {
    registerGauges(new EntryGauges(registry));
    HttpHandler handler =
        new HeldContentHandler(quarantine, clock, protocol.readiness(this::isReady));
    return Undertow.builder()
        .setWorker(worker)
        .setByteBufferPool(buffers)
        .addHttpListener(
            role.readinessAddress().port(),
            role.readinessAddress().host(),
            MetricsHandler.wrap(registry, handler))
        .build();
  }

  private void registerGauges(EntryGauges gauges) {
    gauges.registerHeldContent(quarantine);
    gauges.registerUpstreamStates(leaving, pauses, limits);
    gauges.registerCallers(responseMemory, httpCallClient, server);
    gauges.registerEstimates(estimates);
    gauges.registerOverloadControl(paths);
    relays.registerMetrics(gauges);
  }

  private StageCollector createCollector(String service, HttpBatchTransport transport) {
    return new StageCollector(
        service,
        () ->
            configuration()
                .routingTable()
                .flatMap(table -> table.service(service))
                .flatMap(ServiceProfile::batching),
        () -> chooser.available(service),
        () -> configuration().revision(),
        collectorRole,
        transport,
        pauses,
        limits,
        versions,
        this::release,
        timers,
        clock,
        paths);
  }

  private ForwardDependencies dependencies(
      ForwardingSettings.EntryRole role,
      EdgeProtocol protocol,
      PrometheusRegistry registry,
      WorkCounter work,
      LongSupplier remainingMs) {
    return new ForwardDependencies(
        protocol.headers(),
        sync.configurationView(),
        chooser,
        freshness::isConfirmedSinceResume,
        versions,
        estimates,
        invalidInput,
        notices,
        quarantine,
        stages,
        paths::isInForce,
        new ResponseTimes(),
        new ResultLocator(sync::announced),
        httpCallClient,
        relays.relays(),
        new ServiceRetryBudgets(clock, role.retryRatioPercent(), retryConstant),
        timers,
        clock,
        readDelay,
        this::acceptsRequests,
        this::keepsConnections,
        remainingMs,
        work,
        runsInFlight,
        responseMemory,
        origins,
        versionsSeen,
        new ForwardMetrics(registry));
  }

  private Configuration configuration() {
    return sync.configurationView().current();
  }

  private Set<String> configuredServices() {
    return configuration().routingTable().map(RoutingTable::services).orElse(List.of()).stream()
        .map(ServiceProfile::name)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Takes the permit to send work by a view that is not older than a suspension. */
  private boolean tryPermit(Upstream upstream) {
    return freshness.isConfirmedSinceResume() && chooser.tryPermit(upstream);
  }

  private void release(String service, List<String> handles) {
    stages.release(service, handles);
  }

  private boolean acceptsRequests() {
    VmState state = sync.lifeCycle().state();
    return state == VmState.STARTING || state == VmState.READY || state == VmState.LEAVING;
  }

  private boolean isInService() {
    return sync.lifeCycle().state() == VmState.READY;
  }

  private boolean keepsConnections() {
    return isInService() && descriptors.keepsCallerConnections(server.openConnections());
  }

  private boolean isReady() {
    return isInService() && configuration().routingTable().isPresent();
  }

  /**
   * Returns the gRPC service of the stage collectors.
   *
   * @return the service
   */
  BindableService service() {
    return stages.service();
  }

  /** Starts to listen and to expire load estimates. */
  void start() {
    readDelay.start();
    server.start();
    readiness.start();
    relays.start(ioThread, httpCallClient);
    ioThread.executeAtInterval(retryConstant::observe, OBSERVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    ioThread.executeAtInterval(versionsSeen::observe, OBSERVE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    ioThread.executeAtInterval(this::expire, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void expire() {
    relays.paths().expire();
    estimates.expire();
    invalidInput.expire();
    leaving.expire();
    pauses.expire();
    limits.expire();
  }

  @Override
  public void close() {
    new RequestsAtStop(runsInFlight, work, ioThread).answer();
    server.stop();
    readiness.stop();
    httpCallClient.close();
    relays.close();
    worker.shutdown();
    try {
      worker.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    buffers.close();
  }
}
