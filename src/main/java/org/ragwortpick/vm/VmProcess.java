package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.jboss.logging.Logger;
import org.ragwortpick.admin.AdminServer;
import org.ragwortpick.admin.VmStatus;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.GroupStatus;
import org.ragwortpick.control.RemoteAdministration;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.ledger.ExecutionLedger;
import org.ragwortpick.ledger.LedgerGroups;
import org.ragwortpick.ledger.RemoteExecutionLedger;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.settings.PeerVm;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.NoLeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.VmLifeCycle;
import org.ragwortpick.sync.rpc.SyncNode;

/**
 * One process of a deployment with an inventory: the entry role and, on control VMs, the control
 * role.
 */
public final class VmProcess implements StoppableProcess {

  private static final Logger LOG = Logger.getLogger(VmProcess.class);
  private static final int TIMER_THREADS = 2;

  private final Settings settings;
  private final Clock clock = new MonotonicClock();
  private final PeerChannels channels = new PeerChannels();
  private final ScheduledExecutorService scheduler =
      new ReportingScheduler(TIMER_THREADS, Thread::new);
  private final WorkCounter work = new WorkCounter();
  private final Optional<ControlComponents> control;
  private final SyncNode sync;
  private final PeerServer peerServer;
  private final ExecutionLedger ledger;
  private final EntryComponents entry;
  private final AdminServer admin;
  private final GracefulStop stop;

  /**
   * Creates the process without listening yet.
   *
   * @param settings checked settings
   * @throws IOException if the data folder cannot be used
   */
  public VmProcess(Settings settings) throws IOException {
    this.settings = settings;
    PrometheusRegistry registry = new PrometheusRegistry();
    List<HostPort> controlAddresses =
        settings.controlVms().stream().map(PeerVm::peerAddress).toList();
    this.control =
        settings.isControl()
            ? Optional.of(new ControlComponents(settings, channels, clock, scheduler))
            : Optional.empty();
    LeaderSource leader =
        control.<LeaderSource>map(ControlComponents::leaderSource).orElseGet(NoLeaderSource::new);
    this.sync =
        new SyncNode(
            identity(settings), clock, leader, channels, work::count, VmLifeCycle.LEAVING_MS);
    this.stop = new GracefulStop(sync.lifeCycle(), work, scheduler, clock);
    List<BindableService> services = new ArrayList<>();
    services.add(sync.service());
    control.ifPresent(components -> services.addAll(components.services(sync.upstreamDirectory())));
    this.peerServer = new PeerServer(settings.peerAddress(), services);
    this.ledger =
        new RemoteExecutionLedger(
            channels,
            controlAddresses,
            LedgerGroups.names(settings.limits().executionGroups()),
            clock,
            scheduler);
    this.entry = new EntryComponents(settings, sync, ledger, clock, scheduler, registry, work);
    VmStatus status =
        new VmStatus(
            clock,
            sync.lifeCycle()::record,
            sync.configurationView(),
            sync.vmDirectory(),
            sync.upstreamDirectory(),
            this::consensusGroups);
    this.admin =
        new AdminServer(
            settings.adminAddress(),
            new RemoteAdministration(channels, () -> controlAddresses, clock, scheduler),
            status,
            registry,
            this::requestStop);
  }

  private static SyncIdentity identity(Settings settings) {
    return new SyncIdentity(
        settings.vm(),
        Clock.systemUTC().millis(),
        settings.dataCentre(),
        settings.callerAddress(),
        settings.peerAddress(),
        settings.controlVms().stream()
            .map(vm -> new SyncIdentity.ControlVm(vm.vm(), vm.dataCentre(), vm.peerAddress()))
            .toList(),
        settings.peers().stream().map(PeerVm::peerAddress).toList(),
        SyncIdentity.UNKNOWN_PROCESSOR_PERCENT);
  }

  private List<GroupStatus> consensusGroups() {
    return control.map(ControlComponents::statuses).orElse(List.of());
  }

  @Override
  public void start() throws IOException {
    peerServer.start();
    control.ifPresent(ControlComponents::start);
    sync.start();
    admin.start();
    entry.start();
    new LedgerWarmUp(ledger, scheduler).start(settings.limits().executionGroups());
    LOG.infof("VM %s started in data centre %s", settings.vm(), settings.dataCentre());
  }

  @Override
  public void requestStop() {
    stop.request(settings.limits().stopTimeoutMs());
  }

  @Override
  public CompletableFuture<Void> stopped() {
    return stop.stopped();
  }

  @Override
  public void close() throws IOException {
    entry.close();
    admin.close();
    sync.close();
    if (control.isPresent()) {
      control.get().close();
    }
    peerServer.close();
    channels.close();
    scheduler.shutdownNow();
  }
}
