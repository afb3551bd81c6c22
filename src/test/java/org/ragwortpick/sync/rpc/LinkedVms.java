package org.ragwortpick.sync.rpc;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.proto.SyncResponse;
import org.ragwortpick.sync.FakeLeader;
import org.ragwortpick.sync.SyncIdentity;
import org.ragwortpick.sync.SyncTimings;
import org.ragwortpick.sync.VmLifeCycle;

/**
 * Simulated network between the protocol logic of some VMs. Messages are delayed, duplicated, held
 * back while a VM is frozen, and lost where a link is cut; the bandwidth of the links can be
 * limited. Each VM has a clock with its own rate.
 */
final class LinkedVms {

  static final int STEP_MS = 20;
  private static final long TICK_MS = 100;
  private static final long MIN_ELECTION_MS = 520;
  private static final long CHECK_QUORUM_MS = 1_000;

  /** Simulated VMs would write their changes of data centres a hundred thousand times. */
  private static final Logger CHANGE_LOG =
      Logger.getLogger("org.ragwortpick.sync.view.DataCentreChangeLog");

  static {
    CHANGE_LOG.setLevel(Level.WARNING);
  }

  private final Random random;
  private final int maxPartBytes;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Vm> controls = new ArrayList<>();
  private final FakeLeader.Committed committed = new FakeLeader.Committed();

  /** Time at which each revision was accepted; the index is the revision. */
  private final List<Long> acceptedAtMs = new ArrayList<>(List.of(0L));

  private long nowMs = 1_000_000;
  private int maxDelayMs = 60;
  private int duplicatePercent = 5;
  private boolean hasSlowMessages = true;
  private long controlBytesPerMs = Long.MAX_VALUE;
  private long entryBytesPerMs = Long.MAX_VALUE;
  private Vm leader;
  private long term;
  private long lastConfirmedMs;
  private long electionDelayMs;
  private final boolean[][] cut;
  private long eventCount;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

  LinkedVms(long seed, int controlCount, int entryCount) {
    this(seed, controlCount, entryCount, SyncExchange.MAX_PART_BYTES);
  }

  LinkedVms(long seed, int controlCount, int entryCount, int maxPartBytes) {
    this.maxPartBytes = maxPartBytes;
    random = new Random(seed);
    cut = new boolean[controlCount + entryCount][controlCount + entryCount];
    for (int i = 0; i < controlCount + entryCount; i++) {
      Vm vm = new Vm(i, i < controlCount);
      vms.add(vm);
      if (vm.control) {
        controls.add(vm);
      }
    }
    vms.forEach(Vm::start);
  }

  Random random() {
    return random;
  }

  List<Vm> vms() {
    return vms;
  }

  long nowMs() {
    return nowMs;
  }

  Optional<Vm> leader() {
    return Optional.ofNullable(leader);
  }

  List<Long> acceptedAtMs() {
    return acceptedAtMs;
  }

  void setMaxDelayMs(int newMaxDelayMs) {
    maxDelayMs = newMaxDelayMs;
  }

  /** Delays all messages by the maximum delay at most, as on links without any disruption. */
  void excludeSlowMessages() {
    hasSlowMessages = false;
  }

  /** Limits the bytes that the link of each VM carries in each direction. */
  void limitBandwidth(long newControlBytesPerMs, long newEntryBytesPerMs) {
    controlBytesPerMs = newControlBytesPerMs;
    entryBytesPerMs = newEntryBytesPerMs;
  }

  void cut(Vm a, Vm b, boolean isCut) {
    cut[a.index][b.index] = isCut;
    cut[b.index][a.index] = isCut;
  }

  void heal() {
    vms.forEach(a -> vms.forEach(b -> cut(a, b, false)));
  }

  boolean linked(Vm a, Vm b) {
    return a == b || !cut[a.index][b.index];
  }

  Vm anyVm() {
    return vms.get(random.nextInt(vms.size()));
  }

  boolean chance(double perSecond) {
    return random.nextDouble() < perSecond * STEP_MS / 1_000;
  }

  /** Commits a change if the leader reached a quorum in this step. */
  void commit(String key, String text) {
    if (leader != null && lastConfirmedMs == nowMs) {
      committed.commit(key, text);
      acceptedAtMs.add(nowMs);
    }
  }

  void step() {
    nowMs += STEP_MS;
    elect();
    while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
      events.poll().action().run();
    }
    vms.stream().filter(Vm::isRunning).forEach(Vm::step);
  }

  void at(long atMs, Runnable action) {
    events.add(new Event(atMs, eventCount++, action));
  }

  private void elect() {
    if (leader != null && leader.isRunning() && hasQuorum(leader)) {
      lastConfirmedMs = nowMs;
      leader.confirmedAtMs = leader.clock.millis();
      for (Vm vm : controls) {
        if (vm.isRunning() && linked(vm, leader)) {
          vm.replica.applyUpTo(committed.revision());
          vm.replica.setLeadership(vm == leader, term, leader.name);
        }
      }
    } else if (nowMs - lastConfirmedMs > MIN_ELECTION_MS + electionDelayMs) {
      Vm candidate = controls.get(random.nextInt(controls.size()));
      if (candidate.isRunning() && hasQuorum(candidate)) {
        leader = candidate;
        term++;
        lastConfirmedMs = nowMs;
        electionDelayMs = random.nextInt(600);
        candidate.confirmedAtMs = candidate.clock.millis();
        candidate.replica.applyUpTo(committed.revision());
        candidate.replica.setLeadership(true, term, candidate.name);
      }
    }
    for (Vm vm : controls) {
      boolean unconfirmed = vm.clock.millis() - vm.confirmedAtMs > CHECK_QUORUM_MS;
      if (vm.isRunning() && vm != leader && vm.replica.isLeader() && unconfirmed) {
        vm.replica.setLeadership(false, vm.replica.term(), null);
      }
    }
  }

  private boolean hasQuorum(Vm vm) {
    long reached = controls.stream().filter(c -> c.isRunning() && linked(vm, c)).count();
    return 2 * reached > controls.size();
  }

  private int delayMs() {
    int usualMs = random.nextInt(maxDelayMs);
    boolean slow = hasSlowMessages && random.nextInt(20) == 0;
    return usualMs + (slow ? random.nextInt(600) : 0);
  }

  private Vm byAddress(HostPort address) {
    return vms.get(address.port() - 1);
  }

  /**
   * Occupies the links of two VMs with a message, whether or not anybody still waits for it.
   *
   * @return time in milliseconds at which the receiver has the whole message
   */
  private long transmit(Vm from, Vm to, long bytes) {
    long startMs = Math.max(nowMs, from.sendsUntilMs);
    from.sendsUntilMs = startMs + bytes / from.bytesPerMs();
    to.receivesUntilMs =
        Math.max(
            from.sendsUntilMs, Math.max(startMs, to.receivesUntilMs) + bytes / to.bytesPerMs());
    from.sentBytes += bytes;
    to.receivedBytes += bytes;
    return to.receivesUntilMs;
  }

  /** Simulated VM whose process can be started, killed or frozen. */
  final class Vm {
    private final int index;
    private final boolean control;
    private final String name;
    private final FakeLeader replica;
    private final double clockRate;
    private Clock clock;
    private SyncState state;
    private LeaderDuties duties;
    private SyncExchange exchange;
    private VmLifeCycle lifeCycle;
    private SourceSelector selector;
    private boolean processRunning;
    private long incarnation;
    private long frozenUntilMs;
    private long confirmedAtMs;
    private SyncExchange.Poll pending;
    private long sentAtMs;
    private long nextPollAtMs;
    private long nextTickAtMs;
    private long sendsUntilMs;
    private long receivesUntilMs;
    private long sentBytes;
    private long receivedBytes;

    Vm(int index, boolean control) {
      this.index = index;
      this.control = control;
      this.name = (control ? "c" : "e") + index;
      this.clockRate = 0.99 + 0.02 * random.nextDouble();
      this.replica = new FakeLeader(committed, () -> confirmedAtMs);
      replica.applyUpTo(0);
    }

    /** Starts a process without sync state unless one runs; the replica keeps committed changes. */
    void start() {
      if (processRunning) {
        return;
      }
      processRunning = true;
      incarnation++;
      frozenUntilMs = 0;
      pending = null;
      nextPollAtMs = nowMs + random.nextInt(500);
      clock = new RatedClock(() -> nowMs, clockRate);
      confirmedAtMs = 0;
      replica.setLeadership(false, 0, null);
      List<SyncIdentity.ControlVm> controlVms = new ArrayList<>();
      int controlCount = (int) vms.stream().filter(vm -> vm.control).count();
      for (int i = 0; i < Math.max(controlCount, controls.size()); i++) {
        controlVms.add(new SyncIdentity.ControlVm("c" + i, "dc" + i, address(i)));
      }
      SyncIdentity identity =
          new SyncIdentity(
              name,
              incarnation,
              "dc" + index % 3,
              address(index),
              address(index),
              controlVms,
              List.of(address((index + 1) % cut.length)),
              0);
      state =
          new SyncState(
              identity,
              clock,
              () ->
                  nextPollAtMs =
                      Math.min(nextPollAtMs, sentAtMs + SyncTimings.MIN_POLL_INTERVAL_MS));
      duties = new LeaderDuties(clock, replica, state);
      exchange = new SyncExchange(clock, replica, state, duties, maxPartBytes);
      selector = new SourceSelector(identity, replica, state.vms());
      lifeCycle = new VmLifeCycle(identity, clock, state.view(), () -> 0, state::publish);
    }

    void kill() {
      processRunning = false;
      if (leader == this) {
        leader = null;
      }
    }

    boolean isRunning() {
      return processRunning && nowMs >= frozenUntilMs;
    }

    void freeze(long forMs) {
      frozenUntilMs = nowMs + forMs;
    }

    long frozenUntilMs() {
      return frozenUntilMs;
    }

    boolean isUp() {
      return processRunning;
    }

    boolean isControl() {
      return control;
    }

    private long bytesPerMs() {
      return control ? controlBytesPerMs : entryBytesPerMs;
    }

    long sentBytes() {
      return sentBytes;
    }

    long receivedBytes() {
      return receivedBytes;
    }

    String process() {
      return name + "/" + incarnation;
    }

    SyncState state() {
      return state;
    }

    Clock clock() {
      return clock;
    }

    String name() {
      return name;
    }

    LeaderDuties duties() {
      return duties;
    }

    VmLifeCycle lifeCycle() {
      return lifeCycle;
    }

    private HostPort address(int i) {
      return new HostPort("10.0.0.1", i + 1);
    }

    private void step() {
      if (nowMs >= nextTickAtMs) {
        nextTickAtMs = nowMs + TICK_MS;
        duties.tick();
        state.tick();
        lifeCycle.tick();
      }
      if (pending != null && nowMs >= sentAtMs + SyncTimings.POLL_TIMEOUT_MS) {
        recordFailedPoll();
      }
      if (pending == null && nowMs >= nextPollAtMs) {
        poll();
      }
    }

    private void poll() {
      sentAtMs = nowMs;
      nextPollAtMs = nowMs + SyncTimings.POLL_INTERVAL_MS;
      if (exchange.pollSelf()) {
        return;
      }
      SyncExchange.Poll poll = exchange.poll(selector.nextSource());
      pending = poll;
      int copies = random.nextInt(100) < duplicatePercent ? 2 : 1;
      long sender = incarnation;
      Vm source = byAddress(poll.source());
      for (int i = 0; i < copies; i++) {
        long arrivesAtMs = transmit(this, source, poll.request().getSerializedSize());
        at(arrivesAtMs + delayMs(), () -> deliverRequest(poll, sender));
      }
    }

    private void deliverRequest(SyncExchange.Poll poll, long sender) {
      Vm source = byAddress(poll.source());
      if (!source.processRunning || !linked(this, source)) {
        return;
      }
      if (!source.isRunning()) {
        at(source.frozenUntilMs, () -> deliverRequest(poll, sender));
        return;
      }
      SyncResponse response = source.exchange.respond(poll.request());
      if (poll.request().getDemandsCount() > 0) {
        source.nextPollAtMs =
            Math.min(source.nextPollAtMs, source.sentAtMs + SyncTimings.MIN_POLL_INTERVAL_MS);
      }
      long arrivesAtMs = transmit(source, this, response.getSerializedSize());
      at(arrivesAtMs + delayMs(), () -> deliverResponse(poll, response, source, sender));
    }

    private void deliverResponse(
        SyncExchange.Poll poll, SyncResponse response, Vm source, long sender) {
      if (!processRunning || incarnation != sender || pending != poll || !linked(this, source)) {
        return;
      }
      if (!isRunning()) {
        // A response that arrived before the freeze is handled after it.
        at(frozenUntilMs, () -> deliverResponse(poll, response, source, sender));
        return;
      }
      SourceQuality quality = exchange.accept(poll, response);
      if (quality != SourceQuality.UNUSABLE) {
        pending = null;
        boolean searchesSource = selector.recordSuccess(poll.source(), quality);
        if (exchange.sourceHasMore()) {
          selector.continueWith(poll.source());
        }
        if (searchesSource || exchange.sourceHasMore()) {
          nextPollAtMs = sentAtMs + SyncTimings.MIN_POLL_INTERVAL_MS;
        }
      } else {
        recordFailedPoll();
      }
    }

    private void recordFailedPoll() {
      boolean moreSources = selector.recordFailure(pending.source());
      pending = null;
      nextPollAtMs =
          sentAtMs
              + (moreSources ? SyncTimings.MIN_POLL_INTERVAL_MS : SyncTimings.POLL_INTERVAL_MS);
    }
  }

  private record Event(long atMs, long order, Runnable action) {}
}
