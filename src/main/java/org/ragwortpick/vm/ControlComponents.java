package org.ragwortpick.vm;

import io.grpc.BindableService;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.consensus.ConsensusHost;
import org.ragwortpick.consensus.GroupStatus;
import org.ragwortpick.consensus.StateMachine;
import org.ragwortpick.control.AdministrationServer;
import org.ragwortpick.control.ConfigurationStateMachine;
import org.ragwortpick.control.ControlLoop;
import org.ragwortpick.control.DataCentreTransitions;
import org.ragwortpick.control.DirectoryPlacement;
import org.ragwortpick.control.EngineOrders;
import org.ragwortpick.control.HttpEngineClient;
import org.ragwortpick.control.LeaderAdministration;
import org.ragwortpick.control.PlacementSource;
import org.ragwortpick.control.TokenBucket;
import org.ragwortpick.control.VoterRequirement;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.control.leader.LeaderTenure;
import org.ragwortpick.ledger.ExecutionStateMachine;
import org.ragwortpick.ledger.LedgerGroup;
import org.ragwortpick.ledger.LedgerGroups;
import org.ragwortpick.ledger.LedgerServer;
import org.ragwortpick.ledger.LedgerSweeper;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.settings.Settings;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.UpstreamDirectory;

/** Components of a process with the control role. */
final class ControlComponents implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ControlComponents.class);

  /**
   * Number of model loads that may be ordered at once before the rate limit of the weight store
   * applies.
   */
  private static final int WEIGHT_LOAD_BURST = 2;

  /** A deployment whose settings list its control VMs may run with one voter. */
  private static final int TOLERATED_DISK_LOSSES = 0;

  private final ConsensusHost host;
  private final ConfigurationStateMachine configuration;
  private final ConsensusGroup configurationGroup;
  private final List<LedgerGroup> ledgerGroups;
  private final Clock clock;
  private final ScheduledExecutorService scheduler;
  private final Function<String, Optional<HostPort>> peerAddressOf;
  private final LeaderLease lease;
  private final int weightLoadsPerSecond;
  private final List<Supplier<AutoCloseable>> taskFactories = new ArrayList<>();
  private final List<AutoCloseable> tasks = new ArrayList<>();

  /**
   * Opens the data folder without starting the replicas.
   *
   * @param settings settings of a control VM
   * @param channels channels to the other VMs
   * @param clock monotonic clock
   * @param scheduler executor of the periodic tasks
   * @throws IOException if the data folder cannot be used
   */
  ControlComponents(
      Settings settings, PeerChannels channels, Clock clock, ScheduledExecutorService scheduler)
      throws IOException {
    this.clock = clock;
    this.scheduler = scheduler;
    this.configuration = new ConfigurationStateMachine();
    Map<String, HostPort> peerAddresses = ControlBootstrap.peerAddresses(settings);
    this.peerAddressOf = vm -> Optional.ofNullable(peerAddresses.get(vm));
    Map<String, StateMachine> stateMachines = new HashMap<>();
    Map<String, ExecutionStateMachine> executionMachines = new HashMap<>();
    stateMachines.put(ConfigurationStateMachine.GROUP, configuration);
    for (String name : LedgerGroups.names(settings.limits().executionGroups())) {
      executionMachines.put(name, new ExecutionStateMachine());
    }
    stateMachines.putAll(executionMachines);
    this.host =
        ConsensusHost.open(ControlBootstrap.options(settings), stateMachines, channels, clock);
    this.configurationGroup = host.group(ConfigurationStateMachine.GROUP);
    this.lease = new LeaderLease(configurationGroup, clock, scheduler);
    this.weightLoadsPerSecond = settings.limits().weightLoadsPerSecond();
    this.ledgerGroups =
        executionMachines.entrySet().stream()
            .map(
                entry ->
                    new LedgerGroup(entry.getKey(), host.group(entry.getKey()), entry.getValue()))
            .toList();
  }

  /**
   * Returns the configuration source of the sync module.
   *
   * @return the source
   */
  LeaderSource leaderSource() {
    return new ConsensusLeaderSource(configurationGroup, configuration);
  }

  /**
   * Creates the gRPC services.
   *
   * @param upstreams directory of the upstreams
   * @return the services
   */
  List<BindableService> services(UpstreamDirectory upstreams) {
    LeaderTenure leaderTenure = new LeaderTenure(configurationGroup, clock);
    PlacementSource placement = new DirectoryPlacement(upstreams, leaderTenure);
    LeaderAdministration administration =
        new LeaderAdministration(
            configurationGroup,
            configuration,
            lease,
            placement,
            new VoterRequirement(TOLERATED_DISK_LOSSES),
            Optional.empty());
    EngineOrders engineOrders =
        new EngineOrders(
            configurationGroup,
            configuration,
            upstreams,
            new HttpEngineClient(),
            lease,
            leaderTenure,
            new TokenBucket(weightLoadsPerSecond, WEIGHT_LOAD_BURST, clock),
            clock);
    DataCentreTransitions dataCentreTransitions =
        new DataCentreTransitions(
            configuration, administration, placement, engineOrders, lease, clock);
    taskFactories.add(() -> new ControlLoop(dataCentreTransitions, engineOrders, scheduler));
    taskFactories.add(() -> new LedgerSweeper(ledgerGroups, Clock.systemUTC(), scheduler));
    return List.of(
        host.service(),
        new LedgerServer(ledgerGroups, clock, Clock.systemUTC(), scheduler, peerAddressOf),
        new AdministrationServer(administration, peerAddressOf));
  }

  /** Starts the replicas and the periodic tasks of a leader. */
  void start() {
    host.start();
    taskFactories.forEach(factory -> tasks.add(factory.get()));
  }

  /**
   * Returns the status of the local replicas.
   *
   * @return one status per group
   */
  List<GroupStatus> statuses() {
    return host.statuses();
  }

  @Override
  public void close() throws IOException {
    for (AutoCloseable task : tasks) {
      close(task);
    }
    host.close();
  }

  private static void close(AutoCloseable task) {
    try {
      task.close();
    } catch (Exception e) {
      LOG.warn("failed to close a periodic task; closing continues", e);
    }
  }
}
