package org.ragwortpick.sync.rpc;

import io.grpc.BindableService;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.jboss.logging.Logger;
import org.ragwortpick.common.ReportingScheduler;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.sync.AddressResponses;
import org.ragwortpick.sync.ColdAllowances;
import org.ragwortpick.sync.ConfigurationView;
import org.ragwortpick.sync.CrashEvidenceTable;
import org.ragwortpick.sync.LeaderSource;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamDirectory;
import org.ragwortpick.sync.UpstreamLimitTable;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.VersionReports;
import org.ragwortpick.sync.VmDirectory;
import org.ragwortpick.sync.VmLifeCycle;

/** Sync module of one VM: connects the protocol logic to gRPC and to a scheduler. */
public final class SyncNode implements AutoCloseable {

  /** Interval at which timeouts, expiry and the life cycle are checked. */
  private static final long TICK_INTERVAL_MS = 100;

  private static final Logger LOG = Logger.getLogger(SyncNode.class);

  private final SyncState state;
  private final LeaderDuties duties;
  private final SyncServer server;
  private final SyncClient client;
  private final SourceSelector selector;
  private final VmLifeCycle lifeCycle;
  private final AddressResponses addressResponses;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates a node that does not poll yet.
   *
   * @param identity identity of the local VM and the VMs that it may poll
   * @param clock monotonic clock
   * @param leader local control replica, or {@link org.ragwortpick.sync.NoLeaderSource}
   * @param channels channels to other VMs, closed by the caller
   * @param inFlight number of requests in flight on the local VM
   * @param leavingMs time in milliseconds for which a leaving VM still accepts requests
   */
  public SyncNode(
      SyncIdentity identity,
      Clock clock,
      LeaderSource leader,
      PeerChannels channels,
      IntSupplier inFlight,
      long leavingMs) {
    this.scheduler = ReportingScheduler.singleDaemon("sync-" + identity.vm());
    this.state = new SyncState(identity, clock, this::pollEarly);
    this.duties = new LeaderDuties(clock, leader, state);
    SyncExchange exchange = new SyncExchange(clock, leader, state, duties);
    this.selector = new SourceSelector(identity, leader, state.vms());
    this.client = new SyncClient(clock, exchange, selector, channels, scheduler);
    this.server = new SyncServer(exchange, client::pollEarly);
    this.lifeCycle =
        new VmLifeCycle(identity, clock, state.view(), inFlight, state::publish, leavingMs);
    this.addressResponses = new AddressResponses(state.vms(), state.view(), lifeCycle::record);
  }

  /** Starts polling. The gRPC service must already be reachable. */
  public void start() {
    client.start();
    scheduler.scheduleWithFixedDelay(
        this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Replaces the control VMs of the settings.
   *
   * @param seeds control VMs to poll in addition to those of the directory
   */
  public void setSeeds(List<SyncIdentity.ControlVm> seeds) {
    selector.setSeeds(seeds);
  }

  private void pollEarly() {
    client.pollEarly();
  }

  private void tick() {
    try {
      duties.tick();
      state.tick();
      lifeCycle.tick();
    } catch (RuntimeException e) {
      // An uncaught exception would cancel the periodic task.
      LOG.errorf(e, "sync tick failed; the next tick is in %d ms", TICK_INTERVAL_MS);
    }
  }

  /**
   * Returns the gRPC service to add to the peer server.
   *
   * @return the service
   */
  public BindableService service() {
    return server;
  }

  /**
   * Returns the configuration view.
   *
   * @return the view
   */
  public ConfigurationView configurationView() {
    return state.view();
  }

  /**
   * Returns the VM directory.
   *
   * @return the directory
   */
  public VmDirectory vmDirectory() {
    return state.vms();
  }

  /**
   * Returns the upstream directory.
   *
   * @return the directory
   */
  public UpstreamDirectory upstreamDirectory() {
    return state.upstreams();
  }

  /**
   * Returns the upstreams in the state that they announced.
   *
   * @param service name of the service
   * @return upstreams that are cold or ready
   */
  public List<Upstream> announced(String service) {
    return state.upstreams().announced(service);
  }

  /**
   * Processes an announcement of an upstream and sends a change of its state without delay.
   *
   * @param announcement the announcement
   */
  public void announce(Upstream announcement) {
    Optional<UpstreamState> before = stateOf(announcement.id());
    state.upstreams().announce(announcement);
    if (!before.equals(stateOf(announcement.id()))) {
      LOG.infof(
          "upstream %s, incarnation %d, service %s, data centre %s: announced %s, number %d",
          announcement.id(),
          announcement.incarnation(),
          announcement.service(),
          announcement.dataCentre(),
          announcement.state(),
          announcement.sequence());
      pollEarly();
    }
  }

  /**
   * Processes a leave notice that does not name the incarnation of its upstream.
   *
   * @param upstreamId id of the upstream
   */
  public void leave(String upstreamId) {
    leave(upstreamId, OptionalLong.empty());
  }

  /**
   * Processes a leave notice of an upstream and sends it without delay.
   *
   * @param upstreamId id of the upstream
   * @param incarnation incarnation that leaves; empty if the notice does not name it
   */
  public void leave(String upstreamId, OptionalLong incarnation) {
    boolean hasRecord = state.upstreams().leave(upstreamId, incarnation);
    LOG.infof(
        "upstream %s, incarnation %s leaves, %s",
        upstreamId,
        incarnation.isPresent() ? incarnation.getAsLong() : "not named",
        hasRecord ? "gets no new work" : "but this VM has no record of it, or of a later one");
    pollEarly();
  }

  private Optional<UpstreamState> stateOf(String upstreamId) {
    return state.upstreams().find(upstreamId).map(Upstream::state);
  }

  /**
   * Returns the leases on shares of cold upstreams.
   *
   * @return the allowances
   */
  public ColdAllowances coldAllowances() {
    return state.allowances();
  }

  /**
   * Returns the evidence about crashes of upstreams.
   *
   * @return the evidence
   */
  public CrashEvidenceTable crashEvidence() {
    return state.crashEvidence();
  }

  /**
   * Returns the request rates that upstreams named.
   *
   * @return the limits
   */
  public UpstreamLimitTable upstreamLimits() {
    return state.upstreamLimits();
  }

  /**
   * Returns the reports about services in a rollout.
   *
   * @return the reports
   */
  public VersionReports versionReports() {
    return state.versionReports();
  }

  /**
   * Returns the life cycle of the local VM.
   *
   * @return the life cycle
   */
  public VmLifeCycle lifeCycle() {
    return lifeCycle;
  }

  /**
   * Returns the address responses.
   *
   * @return the address responses
   */
  public AddressResponses addressResponses() {
    return addressResponses;
  }

  @Override
  public void close() {
    client.close();
    scheduler.shutdownNow();
  }
}
