package org.ragwortpick.sync.rpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.ragwortpick.policy.quarantine.HeldPart;
import org.ragwortpick.policy.quarantine.PartDecision;
import org.ragwortpick.policy.quarantine.PartQuarantine;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;

/**
 * Simulated entry VMs that share evidence over the real sync protocol, before upstreams that end
 * when they begin a response to a harmful part, and start again after some seconds.
 */
final class CrashingFleet {

  private static final int CONTROL_VMS = 3;
  private static final long RESTART_MS = 4_000;
  private static final long MAX_CRASH_DELAY_MS = 250;
  private static final long SOUND_AFTER_MS = 500;
  private static final int FIRST_PARTS = 3;
  private static final int SECOND_PARTS = 100;

  private final LinkedVms vms;
  private final Random random;
  private final List<LinkedVms.Vm> entryVms;
  private final boolean quarantined;
  private final Map<String, PartQuarantine> quarantines = new HashMap<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final Set<String> harmfulParts = new HashSet<>();
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

  /** Lists the parts that any running VM holds back. */
  Set<String> held() {
    Set<String> held = new HashSet<>();
    for (LinkedVms.Vm vm : entryVms) {
      if (vm.isRunning()) {
        quarantineOf(vm).held().stream().map(HeldPart::part).forEach(held::add);
      }
    }
    return held;
  }

  PartQuarantine quarantineOf(LinkedVms.Vm vm) {
    return quarantines.computeIfAbsent(
        vm.process(),
        process ->
            new PartQuarantine(
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

  /** Sends a request if the VM admits it, and returns whether it did. */
  boolean send(LinkedVms.Vm vm, String service, List<String> parts) {
    if (!vm.isRunning() || !vm.state().view().isInForce()) {
      return false;
    }
    boolean harmful = parts.stream().anyMatch(harmfulParts::contains);
    if (!harmful) {
      statistics.soundSent++;
    }
    if (quarantined && quarantineOf(vm).decide(service, parts) instanceof PartDecision.Held) {
      return false;
    }
    List<Engine> running =
        engines.stream().filter(e -> e.service.equals(service) && e.isRunning()).toList();
    if (!running.isEmpty()) {
      runs.add(new Run(vm, running.get(random.nextInt(running.size())), parts, harmful));
      if (harmful) {
        statistics.harmfulArrivals++;
        statistics.arrivalsAfterFifthCrash += statistics.crashes >= 5 ? 1 : 0;
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

  /** Counts of one run. */
  static final class Statistics {
    private int crashes;
    private int harmfulArrivals;
    private int arrivalsAfterFifthCrash;
    private int soundSent;
    private int soundServed;

    int crashes() {
      return crashes;
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
    private final List<String> parts;
    private final boolean harmful;
    private final long vmSentAtMs;
    private final long headAtMs;
    private final long endAtMs;
    private boolean knownSound;

    private Run(LinkedVms.Vm vm, Engine engine, List<String> parts, boolean harmful) {
      this.vm = vm;
      this.process = vm.process();
      this.engine = engine;
      this.parts = parts;
      this.harmful = harmful;
      this.vmSentAtMs = vm.clock().millis();
      this.headAtMs = vms.nowMs() + 60 + random.nextInt(100);
      this.endAtMs = headAtMs + (harmful ? random.nextInt(80) : 50 + random.nextInt(3_000));
    }

    private Optional<PartQuarantine> quarantine() {
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
        engine.end();
      } else if (ended || (!harmful && vms.nowMs() - headAtMs > SOUND_AFTER_MS)) {
        recordSound();
      }
      if (ended) {
        runs.remove(this);
        statistics.soundServed += harmful ? 0 : 1;
      }
    }

    private void recordSound() {
      if (!knownSound) {
        knownSound = true;
        Upstream upstream = engine.upstream();
        quarantine().ifPresent(q -> q.recordSound(upstream, parts, vmSentAtMs));
      }
    }

    private void breakOff() {
      long lastedMs = vms.nowMs() - headAtMs;
      boolean justBegun = lastedMs >= 0 && lastedMs <= MAX_CRASH_DELAY_MS;
      quarantine().ifPresent(q -> q.recordCrash(engine.upstream(), justBegun ? parts : List.of()));
    }

    @Override
    public String toString() {
      return "run " + id + " " + parts;
    }
  }
}
