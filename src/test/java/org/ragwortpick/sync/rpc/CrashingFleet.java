package org.ragwortpick.sync.rpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.ragwortpick.policy.quarantine.ContentDecision;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.HeldContent;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;

/**
 * Simulated entry VMs that share evidence over the real sync protocol, before upstreams that end
 * when they begin a response to a harmful part or run a harmful request, and start again after some
 * seconds.
 */
final class CrashingFleet {

  /** Time until the VMs of a new fleet know each other. */
  static final long START_MS = 4_000;

  private static final int CONTROL_VMS = 3;

  /** Rate of sound requests at each VM. */
  private static final double SOUND_PER_SECOND = 2;

  private static final long RESTART_MS = 4_000;
  private static final long MAX_CRASH_DELAY_MS = 250;
  private static final long SOUND_AFTER_MS = 500;
  private static final int FIRST_PARTS = 3;
  private static final int SECOND_PARTS = 100;

  private final LinkedVms vms;
  private final Random random;
  private final List<LinkedVms.Vm> entryVms;
  private final boolean quarantined;
  private final Map<String, ContentQuarantine> quarantines = new HashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final Set<String> harmfulParts = new HashSet<>();
  private final Set<String> harmfulRequests = new HashSet<>();
  private final Statistics statistics = new Statistics();
  private int lastIncarnation;
  private int lastRequest;

  CrashingFleet(long seed, int entryCount, boolean quarantined) {
    this.vms = new LinkedVms(seed, CONTROL_VMS, entryCount);
    this.random = new Random(seed);
    this.quarantined = quarantined;
    this.entryVms = vms.vms().stream().filter(vm -> !vm.isControl()).toList();
    for (String service : List.of("s1", "s2")) {
      for (int i = 0; i < Math.max(6, entryCount * 2 / 3); i++) {
        engines.add(new Engine(service, service + "-e" + i));
      }
    }
  }

  /** Creates a fleet and lets it run until its VMs know each other. */
  static CrashingFleet started(long seed, int entryCount, boolean quarantined) {
    CrashingFleet fleet = new CrashingFleet(seed, entryCount, quarantined);
    fleet.runFor(START_MS, () -> {});
    return fleet;
  }

  /** Runs for a while under sound requests, with an action after each step. */
  void runFor(long durationMs, Runnable eachStep) {
    for (long endMs = vms.nowMs() + durationMs; vms.nowMs() < endMs; ) {
      step(SOUND_PER_SECOND);
      eachStep.run();
    }
  }

  LinkedVms vms() {
    return vms;
  }

  List<LinkedVms.Vm> entryVms() {
    return entryVms;
  }

  Statistics statistics() {
    return statistics;
  }

  void setHarmful(String part, boolean harmful) {
    if (harmful) {
      harmfulParts.add(part);
    } else {
      harmfulParts.remove(part);
    }
  }

  void setHarmfulRequest(String fingerprint, boolean harmful) {
    if (harmful) {
      harmfulRequests.add(fingerprint);
    } else {
      harmfulRequests.remove(fingerprint);
    }
  }

  /** Lists the ids of what any running VM holds back. */
  Set<String> held() {
    Set<String> held = new HashSet<>();
    for (LinkedVms.Vm vm : entryVms) {
      if (vm.isRunning()) {
        quarantineOf(vm).held().stream().map(HeldContent::content).forEach(held::add);
      }
    }
    return held;
  }

  ContentQuarantine quarantineOf(LinkedVms.Vm vm) {
    return quarantines.computeIfAbsent(
        vm.process(),
        process ->
            new ContentQuarantine(
                vm.state().crashEvidence(),
                vm.name(),
                () -> entryVms.stream().map(LinkedVms.Vm::name).toList(),
                vm.clock()));
  }

  /** Advances the time by one step and sends sound requests at a rate per VM. */
  void step(double soundPerSecond) {
    vms.step();
    for (LinkedVms.Vm vm : entryVms) {
      if (vms.chance(soundPerSecond)) {
        send(vm, random.nextInt(4) == 0 ? "s2" : "s1", soundParts());
      }
    }
    for (Run run : List.copyOf(runs)) {
      run.step();
    }
  }

  private List<String> soundParts() {
    return List.of("a" + random.nextInt(FIRST_PARTS), "b" + random.nextInt(SECOND_PARTS));
  }

  String anyFirstPart() {
    return "a" + random.nextInt(FIRST_PARTS);
  }

  /** Sends a request that is unlike any other, if the VM admits it, and returns whether it did. */
  boolean send(LinkedVms.Vm vm, String service, List<String> parts) {
    return send(vm, service, parts, "unique-" + lastRequest);
  }

  /** Sends a request if the VM admits it, and returns whether it did. */
  boolean send(LinkedVms.Vm vm, String service, List<String> parts, String fingerprint) {
    if (!vm.isRunning() || !vm.state().view().isInForce()) {
      return false;
    }
    boolean harmful =
        harmfulRequests.contains(fingerprint) || parts.stream().anyMatch(harmfulParts::contains);
    RequestContent content = RequestContent.of(parts, () -> fingerprint);
    if (!harmful) {
      statistics.soundSent++;
    }
    if (quarantined && quarantineOf(vm).decide(service, content) instanceof ContentDecision.Held) {
      return false;
    }
    List<Engine> running =
        engines.stream().filter(e -> e.service.equals(service) && e.isRunning()).toList();
    if (!running.isEmpty()) {
      runs.add(new Run(vm, running.get(random.nextInt(running.size())), content, harmful));
      if (harmful) {
        statistics.harmfulArrivals++;
        statistics.arrivalsAfterFifthCrash += statistics.crashes >= 5 ? 1 : 0;
        statistics.arrivals.add(new Arrival(vms.nowMs(), vm.name(), fingerprint));
      }
    }
    return true;
  }

  /** Ends a share of all engines at the same moment. */
  void endTogether(double share) {
    engines.stream()
        .filter(engine -> engine.isRunning() && random.nextDouble() < share)
        .forEach(Engine::end);
  }

  /** Breaks off one response of an engine that goes on. */
  void breakOneResponse() {
    if (!runs.isEmpty()) {
      Run run = runs.get(random.nextInt(runs.size()));
      run.breakOff();
      runs.remove(run);
    }
  }

  /**
   * Arrival of a harmful request at an upstream.
   *
   * @param atMs time
   * @param vm name of the VM that sent it
   * @param fingerprint fingerprint of the request
   */
  record Arrival(long atMs, String vm, String fingerprint) {}

  /**
   * End of an upstream under a harmful request.
   *
   * @param atMs time
   * @param fingerprint fingerprint of the request
   */
  record End(long atMs, String fingerprint) {}

  /** Counts of one run. */
  static final class Statistics {
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private int crashes;
    private int harmfulArrivals;
    private int arrivalsAfterFifthCrash;
    private int soundSent;
    private int soundServed;

    int crashes() {
      return crashes;
    }

    List<Arrival> arrivals() {
      return arrivals;
    }

    /** Time at which a request had ended a number of upstreams; the latest if it has not. */
    long endAtMs(String fingerprint, int number) {
      return ends.stream()
          .filter(end -> end.fingerprint().equals(fingerprint))
          .skip(number - 1)
          .mapToLong(End::atMs)
          .findFirst()
          .orElse(Long.MAX_VALUE);
    }

    int harmfulArrivals() {
      return harmfulArrivals;
    }

    int arrivalsAfterFifthCrash() {
      return arrivalsAfterFifthCrash;
    }

    double soundServedShare() {
      return (double) soundServed / Math.max(1, soundSent);
    }
  }

  private final class Engine {
    private final String service;
    private final String id;
    private long incarnation = ++lastIncarnation;
    private long downUntilMs;

    private Engine(String service, String id) {
      this.service = service;
      this.id = id;
    }

    private boolean isRunning() {
      return vms.nowMs() >= downUntilMs;
    }

    private Upstream upstream() {
      return TestUpstreams.upstream(id, service, incarnation);
    }

    private void end() {
      downUntilMs = vms.nowMs() + RESTART_MS;
      List<Run> broken = runs.stream().filter(run -> run.engine == this).toList();
      broken.forEach(Run::breakOff);
      runs.removeAll(broken);
      incarnation = ++lastIncarnation;
    }
  }

  private final class Run {
    private final int id = ++lastRequest;
    private final LinkedVms.Vm vm;
    private final String process;
    private final Engine engine;
    private final RequestContent content;
    private final boolean harmful;
    private final long vmSentAtMs;
    private final long headAtMs;
    private final long endAtMs;
    private boolean partsKnownSound;

    private Run(LinkedVms.Vm vm, Engine engine, RequestContent content, boolean harmful) {
      this.vm = vm;
      this.process = vm.process();
      this.engine = engine;
      this.content = content;
      this.harmful = harmful;
      this.vmSentAtMs = vm.clock().millis();
      this.headAtMs = vms.nowMs() + 60 + random.nextInt(100);
      boolean harmfulRequest =
          content.fingerprint().map(Supplier::get).filter(harmfulRequests::contains).isPresent();
      if (harmfulRequest) {
        this.endAtMs = vms.nowMs() + 30 + random.nextInt(200);
      } else {
        this.endAtMs = headAtMs + (harmful ? random.nextInt(80) : 50 + random.nextInt(3_000));
      }
    }

    private Optional<ContentQuarantine> quarantine() {
      boolean sameProcess = vm.isRunning() && vm.process().equals(process);
      return sameProcess && quarantined ? Optional.of(quarantineOf(vm)) : Optional.empty();
    }

    private void step() {
      boolean ended = vms.nowMs() >= endAtMs;
      if (!runs.contains(this)) {
        return;
      }
      if (ended && harmful) {
        statistics.crashes++;
        content
            .fingerprint()
            .ifPresent(value -> statistics.ends.add(new End(vms.nowMs(), value.get())));
        engine.end();
      } else if (ended) {
        recordSound(content);
      } else if (!harmful && !partsKnownSound && vms.nowMs() - headAtMs > SOUND_AFTER_MS) {
        partsKnownSound = true;
        recordSound(content.partsOnly());
      }
      if (ended) {
        runs.remove(this);
        statistics.soundServed += harmful ? 0 : 1;
      }
    }

    private void recordSound(RequestContent sound) {
      Upstream upstream = engine.upstream();
      quarantine().ifPresent(q -> q.recordSound(upstream, sound, vmSentAtMs));
    }

    private void breakOff() {
      long lastedMs = vms.nowMs() - headAtMs;
      boolean justBegun = lastedMs >= 0 && lastedMs <= MAX_CRASH_DELAY_MS;
      RequestContent blamed = justBegun ? content : content.wholeOnly();
      quarantine().ifPresent(q -> q.recordCrash(engine.upstream(), blamed));
    }

    @Override
    public String toString() {
      return "run " + id + " " + content.parts();
    }
  }
}
