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

/** Parts of a process with the control role. */
final class ControlPart implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ControlPart.class);

  /** Loads that may be ordered at once before the rate of the weight store applies. */
  private static final int WEIGHT_LOAD_BURST = 2;

  /** A deployment with listed control VMs may run with one of them. */
  private static final int MINIMUM_VOTERS = 1;

  private final ConsensusHost host;
  private final ConfigurationStateMachine configuration;
  private final ConsensusGroup configurationGroup;
  private final List<LedgerGroup> ledgerGroups;
  private final Clock clock;
  private final ScheduledExecutorService scheduler;
  private final Function<String, Optional<HostPort>> peerAddressOf;
  private final LeaderLease lease;
  private final int weightLoadsPerSecond;
  private final List<Supplier<AutoCloseable>> duties = new ArrayList<>();
  private final List<AutoCloseable> running = new ArrayList<>();

  /**
   * Opens the data folder.
   *
   * @param settings settings of a control VM
   * @param channels channels to the other VMs
   * @param clock monotonic clock
   * @param scheduler executor of timers
   * @throws IOException if the data folder cannot be used
   */
  ControlPart(
      Settings settings, PeerChannels channels, Clock clock, ScheduledExecutorService scheduler)
      throws IOException {
    this.clock = clock;
    this.scheduler = scheduler;
    this.configuration = new ConfigurationStateMachine();
    Map<String, HostPort> addresses = ControlBootstrap.addresses(settings);
    this.peerAddressOf = vm -> Optional.ofNullable(addresses.get(vm));
    Map<String, StateMachine> machines = new HashMap<>();
    Map<String, ExecutionStateMachine> executions = new HashMap<>();
    machines.put(ConfigurationStateMachine.GROUP, configuration);
    for (String name : LedgerGroups.names(settings.limits().executionGroups())) {
      executions.put(name, new ExecutionStateMachine());
    }
    machines.putAll(executions);
    this.host = ConsensusHost.open(ControlBootstrap.options(settings), machines, channels, clock);
    this.configurationGroup = host.group(ConfigurationStateMachine.GROUP);
    this.lease = new LeaderLease(configurationGroup, clock, scheduler);
    this.weightLoadsPerSecond = settings.limits().weightLoadsPerSecond();
    this.ledgerGroups =
        executions.entrySet().stream()
            .map(
                entry ->
                    new LedgerGroup(entry.getKey(), host.group(entry.getKey()), entry.getValue()))
            .toList();
  }

  /**
   * Returns the source of the configuration for the sync module.
   *
   * @return the source
   */
  LeaderSource leaderSource() {
    return new ConsensusLeaderSource(configurationGroup, configuration);
  }

  /**
   * Creates the gRPC services.
   *
   * @param upstreams upstreams that are known
   * @return the services
   */
  List<BindableService> services(UpstreamDirectory upstreams) {
    LeaderTenure tenure = new LeaderTenure(configurationGroup, clock);
    PlacementSource placement = new DirectoryPlacement(upstreams, tenure);
    LeaderAdministration administration =
        new LeaderAdministration(
            configurationGroup, configuration, lease, placement, MINIMUM_VOTERS);
    EngineOrders orders =
        new EngineOrders(
            configurationGroup,
            configuration,
            upstreams,
            new HttpEngineClient(),
            lease,
            tenure,
            new TokenBucket(weightLoadsPerSecond, WEIGHT_LOAD_BURST, clock),
            clock);
    DataCentreTransitions transitions =
        new DataCentreTransitions(configuration, administration, placement, orders, lease, clock);
    duties.add(() -> new ControlLoop(transitions, orders, scheduler));
    duties.add(() -> new LedgerSweeper(ledgerGroups, Clock.systemUTC(), scheduler));
    return List.of(
        host.service(),
        new LedgerServer(ledgerGroups, clock, Clock.systemUTC(), scheduler, peerAddressOf),
        new AdministrationServer(administration, peerAddressOf));
  }

  /** Starts the replicas and the periodic duties of a leader. */
  void start() {
    host.start();
    duties.forEach(duty -> running.add(duty.get()));
  }

  /**
   * Returns the state of the replicas.
   *
   * @return states by group
   */
  List<GroupStatus> statuses() {
    return host.statuses();
  }

  @Override
  public void close() throws IOException {
    for (AutoCloseable duty : running) {
      close(duty);
    }
    host.close();
  }

  private static void close(AutoCloseable duty) {
    try {
      duty.close();
    } catch (Exception e) {
      LOG.warn("a periodic duty did not close cleanly", e);
    }
  }
}
