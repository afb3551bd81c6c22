package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.control.AcceptedChange;
import org.ragwortpick.control.Administration;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.control.ConfigurationVersion;
import org.ragwortpick.control.RemoteAdministration;
import org.ragwortpick.control.ReturnRequest;
import org.ragwortpick.control.RolloutController;
import org.ragwortpick.control.StartRolloutRequest;
import org.ragwortpick.control.TakeOutRequest;
import org.ragwortpick.edge.ControlOperations;
import org.ragwortpick.edge.EdgeProtocol;
import org.ragwortpick.edge.EntryAddressSource;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.logging.DecisionLine;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.routing.RoutingConfiguration;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.rpc.SyncNode;

/** Control role of a forwarding deployment: requests of operators, announcements and addresses. */
final class ForwardingControl implements AutoCloseable, ControlOperations, EntryAddressSource {

  private static final Logger LOG = Logger.getLogger(ForwardingControl.class);

  private static final int IO_THREADS = 1;

  /** Heap that an order of one byte needs at most, from its parsing to its replication. */
  private static final long HEAP_BYTES_PER_ORDER_BYTE = 40;

  /** Shorter than the second after which operators try another VM. */
  private static final long CALL_TIMEOUT_MS = 850;

  /** Time in which requests that were sent before a stop are read. */
  private static final long MIN_DRAIN_MS = 200;

  /** Time in which all orders in flight are answered: that of a call, and that to write its end. */
  static final long MAX_DRAIN_MS = CALL_TIMEOUT_MS + 100;

  /** Short, so that callers stop using a leaving VM well before its grace time ends. */
  static final long ADDRESS_VALIDITY_SECONDS = 1;

  private final Optional<ControlReplica> replica;
  private final SyncNode sync;
  private final Administration administration;
  private final Clock clock;
  private final WorkCounter work = new WorkCounter();
  private final DrainingHandler operatorHandler;
  private final DrainingHandler directoryHandler;
  private final OperatorListener operators;
  private final Undertow directory;
  private final ScheduledExecutorService scheduler;
  private final Optional<RolloutController> rollouts;
  private AutoCloseable rolloutPolls = () -> {};

  /**
   * Creates the role without listening yet.
   *
   * @param role settings of the role
   * @param protocol edge protocol
   * @param replica local replica; empty on a VM without a data folder
   * @param sync sync module of the process
   * @param channels channels to the other VMs
   * @param controlAddresses supplies the peer addresses of the control VMs
   * @param clock monotonic clock
   * @param scheduler executor of timers
   * @param registry metrics
   */
  ForwardingControl(
      ForwardingSettings.ControlRole role,
      EdgeProtocol protocol,
      Optional<ControlReplica> replica,
      SyncNode sync,
      PeerChannels channels,
      Supplier<List<HostPort>> controlAddresses,
      Clock clock,
      ScheduledExecutorService scheduler,
      PrometheusRegistry registry) {
    this.replica = replica;
    replica.ifPresent(local -> local.registerMetrics(registry));
    this.scheduler = scheduler;
    this.rollouts =
        role.rolloutBounds()
            .flatMap(bounds -> replica.map(local -> local.rolloutController(bounds, sync, clock)));
    rollouts.ifPresent(
        controller ->
            new EntryGauges(registry)
                .register(
                    "ragwortpick_running_rollouts",
                    "Rollouts that have neither completed nor been rolled back",
                    replica.orElseThrow()::runningRollouts));
    this.sync = sync;
    this.clock = clock;
    this.administration = new RemoteAdministration(channels, controlAddresses, clock, scheduler);
    this.operatorHandler =
        new DrainingHandler(MetricsHandler.wrap(registry, protocol.control(this)), work);
    this.directoryHandler = new DrainingHandler(protocol.directory(this), work);
    this.operators = new OperatorListener(role.operatorAddress(), operatorHandler, clock);
    this.directory =
        Undertow.builder()
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .addHttpListener(
                role.directoryAddress().port(), role.directoryAddress().host(), directoryHandler)
            .build();
  }

  /**
   * Returns the gRPC services of the replica.
   *
   * @return the services; empty without a replica
   */
  List<BindableService> services() {
    return replica.map(ControlReplica::services).orElse(List.of());
  }

  /**
   * Adds control VMs to which the replica may send join requests.
   *
   * @param addresses peer addresses of the control VMs
   */
  void addPeers(List<HostPort> addresses) {
    replica.ifPresent(local -> local.addPeers(addresses));
  }

  /** Starts the replica and the listeners. */
  void start() {
    replica.ifPresent(ControlReplica::start);
    directory.start();
    operators.start(directory.getWorker());
    rollouts.ifPresent(controller -> rolloutPolls = controller.start(scheduler));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing) {
    long startedAtMs = clock.millis();
    return logOutcome(
            "routing " + routing.number(), administration.replaceRouting(routing, CALL_TIMEOUT_MS))
        .whenComplete(
            (outcome, failure) ->
                DecisionLine.of("routing order answered")
                    .with("number", routing.number())
                    .with("accepted", failure == null && outcome.isRight())
                    .with("waitMs", clock.millis() - startedAtMs)
                    .info(LOG));
  }

  @Override
  public CompletionStage<Either<AdministrationError, Optional<RoutingConfiguration>>>
      readRouting() {
    return administration
        .read(CALL_TIMEOUT_MS)
        .thenApply(result -> result.map(version -> version.configuration().routing()));
  }

  @Override
  public boolean isRecent(HttpServerExchange exchange) {
    return operators.recentRequests().contains(exchange);
  }

  @Override
  public long knownRevision() {
    long viewRevision = sync.configurationView().current().revision();
    return Math.max(viewRevision, replica.map(ControlReplica::revision).orElse(0L));
  }

  @Override
  public CompletionStage<Either<AdministrationError, Long>> readRevision() {
    return administration
        .read(CALL_TIMEOUT_MS)
        .thenApply(result -> result.map(ConfigurationVersion::revision));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      String dataCentre, long baseRevision) {
    TakeOutRequest request =
        new TakeOutRequest(newRequestId(), dataCentre, true, OptionalLong.of(baseRevision));
    return logOutcome(
        "take-out of " + dataCentre, administration.takeOut(request, CALL_TIMEOUT_MS));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      String dataCentre, long baseRevision) {
    ReturnRequest request =
        new ReturnRequest(newRequestId(), dataCentre, OptionalLong.of(baseRevision));
    return logOutcome(
        "return of " + dataCentre, administration.returnToService(request, CALL_TIMEOUT_MS));
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> startRollout(
      String service, String to, long durationMs, long baseRevision) {
    StartRolloutRequest request = new StartRolloutRequest(service, to, durationMs, baseRevision);
    return logOutcome(
        "rollout of " + service + " to " + to,
        administration.startRollout(request, CALL_TIMEOUT_MS));
  }

  @Override
  public CompletionStage<Either<AdministrationError, Optional<Rollout>>> readRollout(
      String service) {
    return administration
        .read(CALL_TIMEOUT_MS)
        .thenApply(
            result ->
                result.map(
                    version ->
                        Optional.ofNullable(version.configuration().rollouts().get(service))));
  }

  private static String newRequestId() {
    return UUID.randomUUID().toString();
  }

  private static CompletionStage<Either<AdministrationError, AcceptedChange>> logOutcome(
      String order, CompletionStage<Either<AdministrationError, AcceptedChange>> result) {
    return result.whenComplete(
        (outcome, failure) ->
            LOG.infof(
                "order %s: %s",
                order,
                failure != null
                    ? failure
                    : outcome.fold(
                        AdministrationError::message,
                        accepted -> "accepted at revision " + accepted.revision())));
  }

  @Override
  public int maxBodyBytes() {
    long limitBytes = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_ORDER_BYTE;
    return (int) Math.min(Integer.MAX_VALUE, limitBytes);
  }

  @Override
  public void announce(Upstream upstream) {
    sync.announce(upstream);
  }

  @Override
  public void leave(String upstreamId, OptionalLong incarnation) {
    sync.leave(upstreamId, incarnation);
  }

  @Override
  public List<HostPort> addressesFor(String caller, int limit) {
    return sync.addressResponses().anyReady(caller, limit);
  }

  @Override
  public long validitySeconds() {
    return ADDRESS_VALIDITY_SECONDS;
  }

  /**
   * Waits for the responses to requests that were read, and refuses further ones. Orders wait for
   * the disks of other VMs, which therefore must still be reachable.
   *
   * @param timeoutMs longest wait in milliseconds
   */
  void drain(long timeoutMs) {
    LOG.infof("%d requests of operators and upstreams in flight at the stop", work.count());
    operatorHandler.drain();
    directoryHandler.drain();
    try {
      // What was sent before the stop may still lie in a socket.
      TimeUnit.MILLISECONDS.sleep(MIN_DRAIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!BoundedWait.completes(work.whenIdle(), timeoutMs - MIN_DRAIN_MS)) {
      LOG.warnf("%d requests of operators and upstreams are cut off by the stop", work.count());
    }
  }

  private void stopRolloutPolls() {
    try {
      rolloutPolls.close();
    } catch (Exception e) {
      LOG.warn("failed to stop the polls of rollouts; closing continues", e);
    }
  }

  @Override
  public void close() throws IOException {
    stopRolloutPolls();
    operators.close();
    directory.stop();
    if (replica.isPresent()) {
      replica.get().close();
    }
  }
}
