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

/** Simulates one scenario of a deployment with one seed and one set of decisions. */
final class BenchRun {

  private static final double SYNC_PERIOD_MS = 500;
  private static final double ANNOUNCEMENT_PERIOD_MS = 1_000;
  private static final double EXPIRE_PERIOD_MS = 50;
  private static final double MAX_ANNOUNCEMENT_LAG_MS = 700;
  private static final double MAX_CONFIGURATION_ROUND_TRIP_MS = 1_000;
  private static final double MAX_CACHE_EVENT_LAG_MS = 2_000;
  private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.005;
  private static final double SNAPSHOT_DELAY_MS = 1_000;
  private static final double CALLER_RETRY_DELAY_MS = 2;
  private static final double DRAIN_MS = 5_000;

  private final EventQueue queue = new EventQueue();
  private final Deployment deployment;
  private final Scenario scenario;
  private final boolean usesPolicies;
  private final SplittableRandom random;
  private final RunResult result;
  private final Network network;
  private final ColdAllowanceLeader allowanceLeader;
  private final List<UpstreamModel> upstreams = new ArrayList<>();
  private final List<EntryVmModel> entryVms = new ArrayList<>();
  private final List<VmColdAllowances> allowances = new ArrayList<>();
  private final Set<String> snapshotsPending = new HashSet<>();
  private Configuration currentConfiguration;

  private BenchRun(
      Deployment deployment, Scenario scenario, boolean usesPolicies, long seed, RunResult result) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.usesPolicies = usesPolicies;
    this.random = new SplittableRandom(seed);
    this.result = result;
    this.network = new Network(queue, deployment.crossDataCentreLatencyMs());
    this.allowanceLeader = new ColdAllowanceLeader(queue);
    this.currentConfiguration = deployment.configuration(1, null, null);
  }

  /**
   * Simulates a scenario and adds its measures to a result.
   *
   * @param deployment the deployment
   * @param scenario the scenario
   * @param usesPolicies true to use the policy classes, false to use the naive policies
   * @param arrivals requests of the callers
   * @param seed seed of all random numbers that are drawn during the run
   * @param result counters to which the run adds
   */
  static void execute(
      Deployment deployment,
      Scenario scenario,
      boolean usesPolicies,
      List<Arrival> arrivals,
      long seed,
      RunResult result) {
    BenchRun run = new BenchRun(deployment, scenario, usesPolicies, seed, result);
    run.createUpstreams();
    run.createEntryVms();
    run.schedulePeriodicWork();
    new FaultInjector(run.queue, run.upstreams, run).schedule(scenario.fault());
    for (Arrival arrival : arrivals) {
      run.queue.schedule(arrival.atMs(), () -> run.arrive(arrival, arrival.entryVm(), 0));
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

  private void createEntryVms() {
    List<String> dataCentres = deployment.inventory().dataCentres();
    for (int vm = 0; vm < Deployment.ENTRY_VMS; vm++) {
      String dataCentre = dataCentres.get(vm % dataCentres.size());
      VmView view = new VmView(queue, currentConfiguration);
      upstreams.forEach(upstream -> view.receive(upstream.announcement()));
      VmColdAllowances vmAllowances = new VmColdAllowances(queue, allowanceLeader, vm);
      allowances.add(vmAllowances);
      Decisions decisions =
          usesPolicies
              ? new PolicyDecisions(
                  queue, dataCentre, currentConfiguration, random.split(), vmAllowances)
              : new NaiveDecisions();
      decisions.update(currentConfiguration, view.allUpstreams());
      entryVms.add(new EntryVmModel(queue, dataCentre, view, decisions, network, result));
    }
    for (UpstreamModel upstream : upstreams) {
      if (upstream.service().kind() == ServiceKind.ENGINE) {
        connectCacheEvents(upstream);
      }
    }
  }

  private void connectCacheEvents(UpstreamModel upstream) {
    double[] lagMs =
        entryVms.stream().mapToDouble(e -> random.nextDouble() * MAX_CACHE_EVENT_LAG_MS).toArray();
    upstream.setCacheListener(
        event -> {
          for (int vm = 0; vm < entryVms.size(); vm++) {
            int receivingVm = vm;
            if (random.nextDouble() >= CACHE_EVENT_LOSS_PROBABILITY) {
              queue.schedule(lagMs[vm], () -> receiveCacheEvent(receivingVm, upstream, event));
            }
          }
        });
  }

  private void receiveCacheEvent(int vm, UpstreamModel upstream, CacheEvent event) {
    PrefixIndex index = entryVms.get(vm).decisions().prefixIndex();
    if (!index.apply(event) && snapshotsPending.add(vm + "/" + upstream.id())) {
      queue.schedule(
          SNAPSHOT_DELAY_MS,
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
      double firstDelayMs = random.nextDouble() * ANNOUNCEMENT_PERIOD_MS;
      queue.schedulePeriodically(firstDelayMs, ANNOUNCEMENT_PERIOD_MS, () -> announce(upstream));
    }
    for (EntryVmModel entry : entryVms) {
      double firstDelayMs = random.nextDouble() * SYNC_PERIOD_MS;
      queue.schedulePeriodically(firstDelayMs, SYNC_PERIOD_MS, () -> sync(entry));
      queue.schedulePeriodically(firstDelayMs, EXPIRE_PERIOD_MS, entry.decisions()::expire);
    }
  }

  private void announce(UpstreamModel upstream) {
    Upstream announcement = upstream.announcement();
    if (announcement == null) {
      return;
    }
    queue.schedule(
        random.nextDouble() * MAX_ANNOUNCEMENT_LAG_MS,
        () -> {
          if (announcement.state() == UpstreamState.COLD
              && !allowanceLeader.isRamping(announcement.id())) {
            allowanceLeader.startRamp(announcement, upstream.service().rampStepMs());
          }
        });
    for (EntryVmModel entry : entryVms) {
      queue.schedule(
          random.nextDouble() * MAX_ANNOUNCEMENT_LAG_MS, () -> entry.view().receive(announcement));
    }
  }

  private void sync(EntryVmModel entry) {
    VmView view = entry.view();
    Configuration requested = currentConfiguration;
    queue.schedule(
        random.nextDouble() * MAX_CONFIGURATION_ROUND_TRIP_MS / 2,
        () -> {
          view.receive(requested);
          view.dropLostUpstreams();
          entry.decisions().update(view.configuration(), view.allUpstreams());
        });
    Set<String> returningDataCentres =
        view.configuration().rules().dataCentres().entrySet().stream()
            .filter(state -> state.getValue() == DataCentreState.RETURNING)
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    double latencyMs = network.latencyMs(entry.dataCentre(), "control");
    entry.decisions().syncAllowances(latencyMs, returningDataCentres);
  }

  /**
   * Replaces the configuration by one in which a data centre has a new state. A data centre that
   * starts to return begins the ramps of its upstreams.
   *
   * @param dataCentre the data centre
   * @param state its new state
   */
  void setDataCentreState(String dataCentre, DataCentreState state) {
    currentConfiguration =
        deployment.configuration(currentConfiguration.revision() + 1, dataCentre, state);
    if (state == DataCentreState.OUT) {
      network.recordTakeOut(dataCentre);
    } else {
      network.recordReturn(dataCentre);
    }
    if (state == DataCentreState.RETURNING) {
      for (UpstreamModel upstream : upstreams) {
        if (upstream.dataCentre().equals(dataCentre)) {
          allowanceLeader.startRamp(upstream.announcement(), upstream.service().rampStepMs());
        }
      }
    }
  }

  /**
   * Returns the name of a data centre.
   *
   * @param index index of the data centre in the inventory
   * @return its name
   */
  String dataCentre(int index) {
    return deployment.inventory().dataCentres().get(index);
  }

  /**
   * Disconnects an entry VM from the control VMs, or reconnects it.
   *
   * @param vm index of the entry VM
   * @param isIsolated true to disconnect the VM
   */
  void setIsolated(int vm, boolean isIsolated) {
    entryVms.get(vm).view().setIsolated(isIsolated);
  }

  private void arrive(Arrival arrival, int vm, int redirects) {
    EntryVmModel entry = entryVms.get(vm % entryVms.size());
    if (entry.acceptsRequests()) {
      new RequestRun(entry, arrival).start();
    } else if (redirects < entryVms.size()) {
      queue.schedule(CALLER_RETRY_DELAY_MS, () -> arrive(arrival, vm + 1, redirects + 1));
    } else {
      result.recordEnd(arrival, "no VM");
    }
  }
}
