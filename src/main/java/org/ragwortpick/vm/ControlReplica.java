package org.ragwortpick.vm;

import io.grpc.BindableService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.config.Rollout;
import org.ragwortpick.consensus.BootstrapRefusedException;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.consensus.ConsensusHost;
import org.ragwortpick.consensus.ConsensusMetrics;
import org.ragwortpick.consensus.ConsensusOptions;
import org.ragwortpick.consensus.DataFolder;
import org.ragwortpick.consensus.ReplicaProbe;
import org.ragwortpick.control.AdministrationServer;
import org.ragwortpick.control.ConfigurationStateMachine;
import org.ragwortpick.control.LeaderAdministration;
import org.ragwortpick.control.PlacementPlan;
import org.ragwortpick.control.PlacementSource;
import org.ragwortpick.control.RolloutController;
import org.ragwortpick.control.VoterRequirement;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.rollout.RolloutBounds;
import org.ragwortpick.settings.ForwardingSettings;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.ragwortpick.sync.rpc.SyncNode;

/** Replica of the configuration on a control VM with a disk. */
final class ControlReplica implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ControlReplica.class);

  private final ConsensusHost host;
  private final ConsensusGroup group;
  private final ConfigurationStateMachine stateMachine;
  private final LeaderAdministration administration;
  private final LeaderLease lease;

  private ControlReplica(
      ConsensusHost host,
      ConfigurationStateMachine stateMachine,
      ForwardingSettings.ControlRole role,
      Clock clock,
      ScheduledExecutorService scheduler) {
    this.host = host;
    this.stateMachine = stateMachine;
    this.group = host.group(ConfigurationStateMachine.GROUP);
    this.lease = new LeaderLease(group, clock, scheduler);
    this.administration =
        new LeaderAdministration(
            group,
            stateMachine,
            lease,
            new EmptyPlacement(),
            new VoterRequirement(role.toleratedDiskLosses()),
            role.rolloutBounds());
  }

  /**
   * Opens the data folder. On the first start of a deployment the lowest seed with a disk
   * bootstraps the group; every other VM with an empty folder joins the group.
   *
   * @param settings settings of the process
   * @param channels channels to the other VMs
   * @param clock monotonic clock
   * @param scheduler executor of the lease timers
   * @return the replica; empty without a data folder
   * @throws IOException if the data folder cannot be used
   */
  static Optional<ControlReplica> open(
      ForwardingSettings settings,
      PeerChannels channels,
      Clock clock,
      ScheduledExecutorService scheduler)
      throws IOException {
    Optional<Path> dataFolder =
        settings.control().flatMap(ForwardingSettings.ControlRole::dataFolder);
    if (dataFolder.isEmpty()) {
      return Optional.empty();
    }
    ForwardingSettings.ControlRole role = settings.control().orElseThrow();
    ConsensusOptions options =
        ConsensusOptions.withOpenMembership(
            settings.peerAddress(),
            settings.clusterId(),
            dataFolder.get(),
            settings.seeds(),
            new VoterRequirement(role.toleratedDiskLosses()).survivingVoters());
    if (role.firstStart() && formsGroup(settings, channels, clock)) {
      bootstrap(options, channels);
    }
    ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    ConsensusHost host =
        ConsensusHost.open(
            options, Map.of(ConfigurationStateMachine.GROUP, stateMachine), channels, clock);
    return Optional.of(new ControlReplica(host, stateMachine, role, clock, scheduler));
  }

  private static boolean formsGroup(
      ForwardingSettings settings, PeerChannels channels, Clock clock) {
    return new FirstVoter(settings.peerAddress(), settings.seeds(), new ReplicaProbe(channels)::ask)
        .isLocal(clock);
  }

  private static void bootstrap(ConsensusOptions options, PeerChannels channels)
      throws IOException {
    try {
      DataFolder.bootstrap(
          options, Set.of(ConfigurationStateMachine.GROUP), channels, new SecureRandom());
      LOG.infof("VM %s bootstrapped the control group", options.vm());
    } catch (BootstrapRefusedException e) {
      LOG.infof("VM %s does not bootstrap the control group: %s", options.vm(), e.getMessage());
    }
  }

  /**
   * Returns the configuration source of the sync module.
   *
   * @return the source
   */
  LeaderSource leaderSource() {
    return new ConsensusLeaderSource(group, stateMachine);
  }

  /**
   * Returns the revision that the replica has applied.
   *
   * @return the revision; it may lag behind the leader's
   */
  long revision() {
    return stateMachine.current().revision();
  }

  /**
   * Returns the gRPC services.
   *
   * @return the services
   */
  List<BindableService> services() {
    return List.of(
        host.service(),
        new AdministrationServer(administration, vm -> Optional.of(HostPort.parse(vm))));
  }

  /**
   * Creates the controller that advances the rollouts while the replica leads.
   *
   * @param bounds bounds of rollouts
   * @param sync sync module of the process
   * @param clock monotonic clock
   * @return the controller
   */
  RolloutController rolloutController(RolloutBounds bounds, SyncNode sync, Clock clock) {
    return new RolloutController(
        stateMachine,
        administration,
        lease,
        bounds,
        sync.versionReports()::newest,
        () ->
            sync.vmDirectory().vms().stream()
                .filter(VmRecord::servesCallers)
                .filter(vm -> vm.state() == VmState.READY || vm.state() == VmState.LEAVING)
                .map(VmRecord::vm)
                .collect(Collectors.toSet()),
        (service, version) ->
            sync.announced(service).stream()
                .anyMatch(upstream -> upstream.version().equals(version)),
        clock);
  }

  /**
   * Counts the rollouts that are running.
   *
   * @return their number, as far as the replica knows
   */
  int runningRollouts() {
    return (int)
        stateMachine.current().configuration().rollouts().values().stream()
            .filter(Rollout::isRunning)
            .count();
  }

  /**
   * Adds control VMs to which the replica may send join requests.
   *
   * @param addresses peer addresses of the control VMs
   */
  void addPeers(List<HostPort> addresses) {
    host.addPeers(addresses.stream().map(HostPort::toString).toList());
  }

  /**
   * Registers the metrics of the replica.
   *
   * @param registry metrics of the process
   */
  void registerMetrics(PrometheusRegistry registry) {
    ConsensusMetrics.register(registry, host::statuses);
  }

  /** Starts the replica. */
  void start() {
    host.start();
  }

  @Override
  public void close() throws IOException {
    host.close();
  }

  /**
   * Placement of a deployment without an inventory, whose upstreams are placed by other systems.
   */
  private static final class EmptyPlacement implements PlacementSource {

    @Override
    public PlacementPlan plan(org.ragwortpick.config.Inventory inventory, Set<String> dataCentres) {
      return new PlacementPlan(List.of(), List.of(), List.of());
    }

    @Override
    public boolean isComplete() {
      return true;
    }
  }
}
