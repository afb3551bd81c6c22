package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Placement;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.policy.CacheEvent;
import org.ragwortpick.policy.PrefixIndex;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;

/** One run of one deployment, one scenario and one version of the decisions. */
final class BenchRun {

  private static final double SYNC_PERIOD_MS = 500;
  private static final double ANNOUNCEMENT_PERIOD_MS = 1_000;
  private static final double EXPIRE_PERIOD_MS = 50;
  private static final double MAX_RECORD_LAG_MS = 700;
  private static final double MAX_CONFIGURATION_LAG_MS = 1_000;
  private static final double MAX_CACHE_EVENT_LAG_MS = 2_000;
  private static final double CACHE_EVENT_LOSS = 0.005;
  private static final double SNAPSHOT_MS = 1_000;
  private static final double CALLER_RETRY_MS = 2;
  private static final double DRAIN_MS = 5_000;

  private final EventQueue queue = new EventQueue();
  private final Deployment deployment;
  private final Scenario scenario;
  private final boolean isPolicy;
  private final SplittableRandom random;
  private final RunResult result;
  private final Network network;
  private final Leases leases;
  private final List<UpstreamModel> upstreams = new ArrayList<>();
  private final List<EntryModel> entries = new ArrayList<>();
  private final List<LeasedAllowances> allowances = new ArrayList<>();
  private final Set<String> snapshotsPending = new HashSet<>();
  private Configuration truth;

  private BenchRun(
      Deployment deployment, Scenario scenario, boolean isPolicy, long seed, RunResult result) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.isPolicy = isPolicy;
    this.random = new SplittableRandom(seed);
    this.result = result;
    this.network = new Network(queue, deployment.crossLatencyMs());
    this.leases = new Leases(queue);
    this.truth = deployment.configuration(1, null, null);
  }

  /**
   * Runs a scenario.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param isPolicy whether the policy classes decide
   * @param arrivals arrivals, the same for both versions
   * @param seed seed of everything that is drawn during the run
   * @param result counters to which the run adds
   */
  static void execute(
      Deployment deployment,
      Scenario scenario,
      boolean isPolicy,
      List<Arrival> arrivals,
      long seed,
      RunResult result) {
    BenchRun run = new BenchRun(deployment, scenario, isPolicy, seed, result);
    run.createUpstreams();
    run.createEntries();
    run.schedulePeriodicWork();
    new Faults(run.queue, run.upstreams, run).schedule(scenario.fault());
    for (Arrival arrival : arrivals) {
      run.queue.after(arrival.atMs(), () -> run.arrive(arrival, arrival.vm(), 0));
    }
    run.queue.runUntil(scenario.lengthMs() + DRAIN_MS);
  }

  private void createUpstreams() {
    for (Service service : deployment.inventory().services()) {
      int number = 0;
      for (Placement placement : service.placements()) {
        for (int i = 0; i < placement.replicas(); i++) {
          String id = service.name() + "-" + number++;
          UpstreamModel upstream =
              new UpstreamModel(queue, id, placement.dataCentre(), service, result);
          upstreams.add(upstream);
          network.add(upstream);
        }
      }
    }
  }

  private void createEntries() {
    List<String> dataCentres = deployment.inventory().dataCentres();
    for (int vm = 0; vm < Deployment.ENTRY_VMS; vm++) {
      String dataCentre = dataCentres.get(vm % dataCentres.size());
      VmView view = new VmView(queue, truth);
      upstreams.forEach(upstream -> view.receive(upstream.announcement()));
      LeasedAllowances vmAllowances = new LeasedAllowances(queue, leases, vm);
      allowances.add(vmAllowances);
      Decisions decisions =
          isPolicy
              ? new PolicyDecisions(queue, dataCentre, truth, random.split(), vmAllowances)
              : new NaiveDecisions();
      decisions.update(truth, view.all());
      entries.add(new EntryModel(queue, dataCentre, view, decisions, network, result));
    }
    for (UpstreamModel upstream : upstreams) {
      if (upstream.service().kind() == ServiceKind.ENGINE) {
        connectCacheEvents(upstream);
      }
    }
  }

  private void connectCacheEvents(UpstreamModel upstream) {
    double[] lagMs =
        entries.stream().mapToDouble(e -> random.nextDouble() * MAX_CACHE_EVENT_LAG_MS).toArray();
    upstream.setCacheListener(
        event -> {
          for (int vm = 0; vm < entries.size(); vm++) {
            int receiver = vm;
            if (random.nextDouble() >= CACHE_EVENT_LOSS) {
              queue.after(lagMs[vm], () -> receive(receiver, upstream, event));
            }
          }
        });
  }

  private void receive(int vm, UpstreamModel upstream, CacheEvent event) {
    PrefixIndex index = entries.get(vm).decisions().prefixIndex();
    if (!index.apply(event) && snapshotsPending.add(vm + "/" + upstream.id())) {
      queue.after(
          SNAPSHOT_MS,
          () -> {
            snapshotsPending.remove(vm + "/" + upstream.id());
            index.applySnapshot(
                upstream.id(),
                upstream.incarnation(),
                upstream.cacheSequence(),
                upstream.cachedPrefixes());
          });
    }
  }

  private void schedulePeriodicWork() {
    for (UpstreamModel upstream : upstreams) {
      double firstMs = random.nextDouble() * ANNOUNCEMENT_PERIOD_MS;
      queue.every(firstMs, ANNOUNCEMENT_PERIOD_MS, () -> announce(upstream));
    }
    for (EntryModel entry : entries) {
      double firstMs = random.nextDouble() * SYNC_PERIOD_MS;
      queue.every(firstMs, SYNC_PERIOD_MS, () -> sync(entry));
      queue.every(firstMs, EXPIRE_PERIOD_MS, entry.decisions()::expire);
    }
  }

  private void announce(UpstreamModel upstream) {
    Upstream record = upstream.announcement();
    if (record == null) {
      return;
    }
    queue.after(
        random.nextDouble() * MAX_RECORD_LAG_MS,
        () -> {
          if (record.state() == UpstreamState.COLD && !leases.isRamping(record.id())) {
            leases.startRamp(record, upstream.service().rampStepMs());
          }
        });
    for (EntryModel entry : entries) {
      queue.after(random.nextDouble() * MAX_RECORD_LAG_MS, () -> entry.view().receive(record));
    }
  }

  private void sync(EntryModel entry) {
    VmView view = entry.view();
    Configuration asked = truth;
    queue.after(
        random.nextDouble() * MAX_CONFIGURATION_LAG_MS / 2,
        () -> {
          view.receive(asked);
          view.dropLost();
          entry.decisions().update(view.configuration(), view.all());
        });
    Set<String> returning =
        view.configuration().rules().dataCentres().entrySet().stream()
            .filter(state -> state.getValue() == DataCentreState.RETURNING)
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    double latencyMs = network.latencyMs(entry.dataCentre(), "control");
    entry.decisions().sync(latencyMs, returning);
  }

  /**
   * Changes the state of a data centre.
   *
   * @param dataCentre the data centre
   * @param state its new state
   */
  void setState(String dataCentre, DataCentreState state) {
    truth = deployment.configuration(truth.revision() + 1, dataCentre, state);
    if (state == DataCentreState.OUT) {
      network.takeOut(dataCentre);
    } else {
      network.takeBack(dataCentre);
    }
    if (state == DataCentreState.RETURNING) {
      for (UpstreamModel upstream : upstreams) {
        if (upstream.dataCentre().equals(dataCentre)) {
          leases.startRamp(upstream.announcement(), upstream.service().rampStepMs());
        }
      }
    }
  }

  /**
   * Returns a data centre.
   *
   * @param index its index
   * @return its name
   */
  String dataCentre(int index) {
    return deployment.inventory().dataCentres().get(index);
  }

  /**
   * Cuts an entry VM off from the control VMs or connects it again.
   *
   * @param vm its index
   * @param isIsolated whether it is cut off
   */
  void setIsolated(int vm, boolean isIsolated) {
    entries.get(vm).view().setIsolated(isIsolated);
  }

  private void arrive(Arrival arrival, int vm, int moves) {
    EntryModel entry = entries.get(vm % entries.size());
    if (entry.takesRequests()) {
      new RequestRun(entry, arrival).start();
    } else if (moves < entries.size()) {
      queue.after(CALLER_RETRY_MS, () -> arrive(arrival, vm + 1, moves + 1));
    } else {
      result.recordEnd(arrival, "no VM");
    }
  }
}
