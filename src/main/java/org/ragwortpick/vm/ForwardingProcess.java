package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.consensus.storage.FileDisk;
import org.ragwortpick.edge.EdgeProtocol;
import org.ragwortpick.entry.WorkCounter;
import org.ragwortpick.origin.OriginStore;
import org.ragwortpick.origin.OriginStoreServer;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.NoLeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.rpc.SyncNode;

/** One process of a forwarding deployment, with the control role, the entry role or both. */
public final class ForwardingProcess implements StoppableProcess {

  private static final Logger LOG = Logger.getLogger(ForwardingProcess.class);
  private static final int TIMER_THREADS = 1;

  /** Callers use an address response for up to this multiple of its validity. */
  private static final long ADDRESS_USE_FACTOR = 3;

  /** Time until all address responses omit a leaving VM. */
  private static final long ADDRESS_SPREAD_MS = 1_500;

  /** Time for which a leaving VM takes requests, because callers may still have its address. */
  private static final long LEAVING_MS =
      ADDRESS_USE_FACTOR * ForwardingControl.ADDRESS_VALIDITY_SECONDS * 1_000 + ADDRESS_SPREAD_MS;

  /** Wait for orders in flight after the stop of an entry role, which leaves little time. */
  private static final long ENTRY_DRAIN_MS = 300;

  private final ForwardingSettings settings;
  private final AtomicReference<List<HostPort>> seeds;
  private final PeerChannels channels = new PeerChannels();
  private final ScheduledExecutorService scheduler =
      new ReportingScheduler(TIMER_THREADS, Thread::new);
  private final WorkCounter work = new WorkCounter();
  private final SyncNode sync;
  private final Optional<CrashEvidenceFile> evidenceFile;
  private final Optional<OriginStore> originStore;
  private final Optional<ForwardingControl> control;
  private final Optional<ForwardingEntry> entry;
  private final PeerServer peerServer;
  private final GracefulStop stop;

  /**
   * Creates the process without listening yet.
   *
   * @param settings checked settings
   * @param protocol edge protocol that the settings name
   * @throws IOException if the data folder cannot be used
   */
  public ForwardingProcess(ForwardingSettings settings, EdgeProtocol protocol) throws IOException {
    this.settings = settings;
    this.seeds = new AtomicReference<>(settings.seeds());
    Clock clock = new MonotonicClock();
    PrometheusRegistry registry = new PrometheusRegistry();
    Optional<ControlReplica> replica = ControlReplica.open(settings, channels, clock, scheduler);
    LeaderSource leader =
        replica.<LeaderSource>map(ControlReplica::leaderSource).orElseGet(NoLeaderSource::new);
    this.sync =
        new SyncNode(
            identity(settings, replica.isPresent()),
            clock,
            leader,
            channels,
            work::count,
            LEAVING_MS);
    this.evidenceFile = evidenceFile(settings, sync, clock);
    this.originStore = originStore(settings, clock);
    this.stop = new GracefulStop(sync.lifeCycle(), work, scheduler, clock);
    this.control =
        settings
            .control()
            .map(
                role ->
                    new ForwardingControl(
                        role,
                        protocol,
                        replica,
                        sync,
                        channels,
                        this::controlAddresses,
                        clock,
                        scheduler,
                        registry));
    this.entry =
        settings.entry().isPresent()
            ? Optional.of(
                new ForwardingEntry(
                    settings,
                    protocol,
                    sync,
                    seeds::get,
                    channels,
                    clock,
                    registry,
                    work,
                    stop::remainingMs))
            : Optional.empty();
    List<BindableService> services = new ArrayList<>();
    services.add(sync.service());
    originStore.ifPresent(store -> services.add(new OriginStoreServer(store)));
    control.ifPresent(role -> services.addAll(role.services()));
    entry.ifPresent(role -> services.add(role.service()));
    this.peerServer = new PeerServer(settings.peerAddress(), services);
  }

  private static Optional<CrashEvidenceFile> evidenceFile(
      ForwardingSettings settings, SyncNode sync, Clock clock) throws IOException {
    Optional<Path> folder = settings.control().flatMap(ForwardingSettings.ControlRole::dataFolder);
    return folder.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new CrashEvidenceFile(
                new FileDisk(folder.get()), sync.crashEvidence(), clock, Clock.systemUTC()));
  }

  private static Optional<OriginStore> originStore(ForwardingSettings settings, Clock clock)
      throws IOException {
    Optional<Path> folder = settings.control().flatMap(ForwardingSettings.ControlRole::dataFolder);
    return folder.isEmpty()
        ? Optional.empty()
        : Optional.of(new OriginStore(new FileDisk(folder.get()), clock, Clock.systemUTC()));
  }

  private static SyncIdentity identity(ForwardingSettings settings, boolean isVoter) {
    String vm = settings.peerAddress().toString();
    Set<HostPort> controlVms = new LinkedHashSet<>(settings.seeds());
    if (isVoter) {
      controlVms.add(settings.peerAddress());
    }
    return new SyncIdentity(
        vm,
        Clock.systemUTC().millis(),
        settings.dataCentre(),
        settings.entry().map(ForwardingSettings.EntryRole::callerAddress).orElse(HostPort.NONE),
        settings.peerAddress(),
        controlVms(controlVms),
        List.of(),
        settings.entry().map(ForwardingSettings.EntryRole::processorPercent).orElse(0));
  }

  /** Lists the control VMs of the directory first, then the seeds, which may be outdated. */
  private List<HostPort> controlAddresses() {
    Set<HostPort> addresses = new LinkedHashSet<>();
    sync.vmDirectory().vms().stream()
        .filter(VmRecord::control)
        .map(VmRecord::peerAddress)
        .forEach(addresses::add);
    addresses.addAll(seeds.get());
    return List.copyOf(addresses);
  }

  /**
   * Applies changed settings. Only the seeds apply to a running process; other changes need a
   * restart.
   *
   * @param newSettings settings that were read again
   */
  public void reload(ForwardingSettings newSettings) {
    seeds.set(newSettings.seeds());
    sync.setSeeds(controlVms(newSettings.seeds()));
    control.ifPresent(role -> role.addPeers(newSettings.seeds()));
  }

  private static List<SyncIdentity.ControlVm> controlVms(Collection<HostPort> addresses) {
    return addresses.stream()
        .map(address -> new SyncIdentity.ControlVm(address.toString(), "", address))
        .toList();
  }

  @Override
  public void start() throws IOException {
    evidenceFile.ifPresent(CrashEvidenceFile::start);
    originStore.ifPresent(OriginStore::start);
    peerServer.start();
    control.ifPresent(ForwardingControl::start);
    sync.start();
    entry.ifPresent(ForwardingEntry::start);
    LOG.infof(
        "VM %s started in data centre %s, control %s, entry %s, seeds %s",
        settings.peerAddress(),
        settings.dataCentre(),
        control.isPresent(),
        entry.isPresent(),
        settings.seeds());
  }

  @Override
  public void requestStop() {
    // Without the entry role only orders in flight are waited for, in close(): operators use
    // another
    // control VM at once.
    stop.request(settings.entry().map(ForwardingSettings.EntryRole::stopTimeoutMs).orElse(0L));
  }

  @Override
  public CompletableFuture<Void> stopped() {
    return stop.stopped();
  }

  @Override
  public void close() throws IOException {
    long drainTimeoutMs = entry.isPresent() ? ENTRY_DRAIN_MS : ForwardingControl.MAX_DRAIN_MS;
    control.ifPresent(role -> role.drain(drainTimeoutMs));
    entry.ifPresent(ForwardingEntry::close);
    sync.close();
    evidenceFile.ifPresent(CrashEvidenceFile::close);
    if (control.isPresent()) {
      control.get().close();
    }
    peerServer.close();
    originStore.ifPresent(OriginStore::close);
    channels.close();
    scheduler.shutdownNow();
    LOG.infof("VM %s stopped", settings.peerAddress());
  }
}
