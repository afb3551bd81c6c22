package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.proto.LedgerCall;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.LedgerReply;
import org.ragwortpick.proto.StatusOperation;
import org.ragwortpick.proto.SweepOperation;

/**
 * One randomised simulation of entry VMs, a lossy network and a service that does not detect
 * duplicates.
 */
final class LedgerRun {

  private static final String GROUP = "executions-0";
  private static final int VMS = 3;
  private static final int KEYS = 3;
  private static final long LEASE_MS = 1_500;
  private static final long DEADLINE_MS = 2_000;
  private static final long END_MS = 20_000;

  private final Random random;
  private final ManualClock clock = new ManualClock();
  private final long startMs = clock.millis();
  private final ExecutionStateMachine machine = new ExecutionStateMachine();
  private final DirectGroup group = new DirectGroup(machine, clock);
  private LedgerServer server;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<Vm> vms = new ArrayList<>();
  private final List<ExecutionKey> keys = new ArrayList<>();
  private final Map<ExecutionKey, Integer> executionCounts = new HashMap<>();
  private final Map<ExecutionKey, Long> lastNotRunAtMs = new HashMap<>();
  private final Set<ExecutionKey> keysSeenDone = new HashSet<>();
  private final Set<String> notRunAttempts = new HashSet<>();
  private final Set<String> attemptsWithNotRunResponse = new HashSet<>();
  private long eventOrder;
  private int attemptCount;
  private int notRunResponses;
  private int leaseRefusals;

  LedgerRun(long seed) {
    random = new Random(seed);
    server = newLeader();
  }

  int executions() {
    return executionCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  int notRunResponses() {
    return notRunResponses;
  }

  int leaseRefusals() {
    return leaseRefusals;
  }

  void run() {
    for (int i = 0; i < VMS; i++) {
      vms.add(new Vm("vm" + i));
      scheduleFaults(vms.get(i));
    }
    for (int i = 0; i < KEYS; i++) {
      ExecutionKey key = new ExecutionKey("w" + i % 2, "k" + i);
      keys.add(key);
      schedule(random.nextInt(500), () -> sendCopies(key, 3));
      schedule(random.nextInt(4_000), () -> observeStatus(key));
    }
    schedule(250, this::sweep);
    while (!events.isEmpty()) {
      Event event = events.poll();
      clock.advanceMs(event.atMs() - clock.millis());
      event.action().run();
    }
    executionCounts.forEach((key, count) -> check(count == 1, key + " ran " + count + " times"));
  }

  /** Starts a leader whose wall clock and monotonic origin differ from the previous leader's. */
  private LedgerServer newLeader() {
    Clock monotonic = Clock.offset(clock, Duration.ofMillis(random.nextInt(1_000_000)));
    Clock wall = Clock.offset(clock, Duration.ofMillis(random.nextInt(4_000) - 2_000));
    return new LedgerServer(
        List.of(new LedgerGroup(GROUP, new DirectGroup(machine, monotonic), machine)),
        monotonic,
        wall,
        null,
        vm -> Optional.empty());
  }

  private boolean isOver() {
    return clock.millis() - startMs > END_MS;
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(clock.millis() + delayMs, eventOrder++, action));
  }

  private void scheduleFaults(Vm vm) {
    schedule(
        200 + random.nextInt(6_000),
        () -> {
          if (random.nextBoolean()) {
            vm.incarnation++;
          } else {
            vm.suspendedUntilMs = clock.millis() + random.nextInt(4_000);
          }
          if (!isOver()) {
            scheduleFaults(vm);
          }
        });
  }

  private void sweep() {
    if (machine.isSweepDue(clock.millis())) {
      group.propose(
          LedgerCommand.newBuilder()
              .setTimeMs(clock.millis())
              .setSweep(SweepOperation.getDefaultInstance())
              .build()
              .toByteArray());
      recordNotRun();
    }
    if (random.nextInt(20) == 0) {
      machine.restore(machine.snapshot());
      server = newLeader();
    }
    if (!isOver()) {
      schedule(250, this::sweep);
    }
  }

  /** Sends a request to one or two VMs at the same time, and resends it the given times. */
  private void sendCopies(ExecutionKey key, int resends) {
    for (int copies = 1 + random.nextInt(2); copies > 0; copies--) {
      Vm vm = vms.get(random.nextInt(VMS));
      schedule(random.nextInt(30), () -> vm.run(0, () -> new RequestCopy(vm, key).begin()));
    }
    if (resends > 0) {
      schedule(100 + random.nextInt(4_000), () -> sendCopies(key, resends - 1));
    }
  }

  private void observeStatus(ExecutionKey key) {
    LedgerReply reply = handle(call().setStatus(status(key)).build());
    LedgerCodec.decodeRecord(reply).get().ifPresent(this::checkRecord);
    if (!isOver()) {
      schedule(random.nextInt(1_000), () -> observeStatus(key));
    }
  }

  private void checkRecord(ExecutionRecord record) {
    int count = executionCounts.getOrDefault(record.key(), 0);
    if (record.state() == ExecutionState.DONE) {
      keysSeenDone.add(record.key());
      check(count == 1, "status DONE after " + count + " executions");
    }
    check(
        record.state() != ExecutionState.NOT_RUN || count == 0,
        "status NOT_RUN after " + count + " executions");
    check(
        record.state() == ExecutionState.DONE || !keysSeenDone.contains(record.key()),
        "DONE was followed by " + record.state());
  }

  /** Executes a request at the service, which does not detect duplicates. */
  private void execute(RequestCopy copy) {
    ExecutionKey key = copy.key;
    Optional<ExecutionRecord> record = machine.status(key);
    executionCounts.merge(key, 1, Integer::sum);
    check(executionCounts.get(key) == 1, key + " ran twice");
    check(
        !attemptsWithNotRunResponse.contains(copy.attemptId),
        "a call was executed after a response NOT_RUN");
    check(
        copy.receivedAtMs > lastNotRunAtMs.getOrDefault(key, 0L),
        "a copy was executed that arrived before the NOT_RUN record");
    check(
        record.isPresent() && record.get().attemptId().equals(copy.attemptId),
        "a call was executed without a record of its attempt");
  }

  private void checkResponse(RequestCopy copy, CallerResponse response) {
    int count = executionCounts.getOrDefault(copy.key, 0);
    if (response.outcome() == ExecutionOutcome.NOT_RUN) {
      notRunResponses++;
      attemptsWithNotRunResponse.add(copy.attemptId);
      check(!copy.executed, "response NOT_RUN after an execution");
      check(lastNotRunAtMs.containsKey(copy.key), "response NOT_RUN without a NOT_RUN record");
    }
    if (response.outcome() == ExecutionOutcome.DONE) {
      check(count == 1, "response DONE after " + count + " executions");
    }
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  private static LedgerCall.Builder call() {
    return LedgerCall.newBuilder().setGroup(GROUP).setTimeoutMs(DEADLINE_MS);
  }

  private static StatusOperation status(ExecutionKey key) {
    return StatusOperation.newBuilder().setKey(LedgerCodec.encode(key)).build();
  }

  private LedgerReply handle(LedgerCall call) {
    LedgerReply reply = server.handle(call).toCompletableFuture().join();
    recordNotRun();
    return reply;
  }

  private void recordNotRun() {
    keys.forEach(
        key ->
            machine
                .status(key)
                .filter(record -> record.state() == ExecutionState.NOT_RUN)
                .filter(record -> notRunAttempts.add(record.attemptId()))
                .ifPresent(record -> lastNotRunAtMs.put(key, clock.millis())));
  }

  /** Returns the delay of a message, which may exceed the timeout of the sender. */
  private long delayMs() {
    return random.nextInt(12) == 0 ? random.nextInt(5_000) : random.nextInt(40);
  }

  private boolean isLost() {
    return random.nextInt(8) == 0;
  }

  private record Event(long atMs, long order, Runnable action) {}

  private final class Vm {
    private final String name;
    private int incarnation;
    private long suspendedUntilMs;

    Vm(String name) {
      this.name = name;
    }

    /** Runs a step unless the VM crashes before; a suspended VM runs the step when it resumes. */
    void run(long delayMs, Runnable step) {
      int expectedIncarnation = incarnation;
      schedule(delayMs, () -> runNow(expectedIncarnation, step));
    }

    private void runNow(int expectedIncarnation, Runnable step) {
      if (incarnation != expectedIncarnation) {
        return;
      }
      if (suspendedUntilMs > clock.millis()) {
        schedule(suspendedUntilMs - clock.millis(), () -> runNow(expectedIncarnation, step));
      } else {
        step.run();
      }
    }
  }

  /** One copy of a request at one VM, controlled by the production {@link DispatchAttempt}. */
  private final class RequestCopy {
    private final Vm vm;
    private final ExecutionKey key;
    private final String attemptId;
    private final long receivedAtMs = clock.millis();
    private final DispatchAttempt attempt;
    private boolean executed;
    private boolean hasResponded;

    RequestCopy(Vm vm, ExecutionKey key) {
      this.vm = vm;
      this.key = key;
      this.attemptId = "a" + attemptCount++;
      this.attempt =
          new DispatchAttempt(
              new BeginRequest(
                  key, "raspored", "d", vm.name, attemptId, LEASE_MS, OptionalLong.empty()),
              clock);
      vm.run(DEADLINE_MS, () -> respondToCaller(attempt.responseAtDeadline()));
    }

    private boolean isDeadlineOver() {
      return clock.millis() - receivedAtMs >= DEADLINE_MS;
    }

    void begin() {
      vm.run(
          random.nextInt(5),
          () ->
              send(
                  call().setBegin(LedgerCodec.encode(attempt.begin())).build(),
                  reply -> step(attempt.onBegin(reply.flatMap(LedgerCodec::decodeBegin)))));
    }

    private void step(DispatchStep step) {
      if (step instanceof DispatchStep.Begin) {
        begin();
      } else if (step instanceof DispatchStep.Dispatch) {
        vm.run(random.nextInt(3) == 0 ? random.nextInt(2_000) : 1, this::dispatch);
      } else if (step instanceof DispatchStep.Finish finish) {
        finish(finish.request());
      } else if (step instanceof DispatchStep.AwaitOutcome && !isDeadlineOver()) {
        vm.run(50 + random.nextInt(200), this::readStatus);
      } else if (step instanceof DispatchStep.Respond respond) {
        respondToCaller(respond.response());
      }
    }

    private void dispatch() {
      if (!attempt.tryDispatch()) {
        leaseRefusals++;
        finish(attempt.abandon());
        return;
      }
      // The VM may be suspended or crash between the check and the first byte.
      vm.run(random.nextInt(3), this::sendToService);
    }

    private void sendToService() {
      boolean arrives = random.nextInt(10) != 0;
      boolean responseArrives = arrives && !isLost();
      if (arrives) {
        schedule(
            random.nextInt(50),
            () -> {
              executed = true;
              execute(this);
            });
      }
      vm.run(
          60 + random.nextInt(300),
          () ->
              finish(
                  responseArrives
                      ? attempt.onUpstreamResponse(200, attemptId)
                      : attempt.onUpstreamResponseLost()));
    }

    private void finish(FinishRequest request) {
      send(
          call().setFinish(LedgerCodec.encode(request)).build(),
          reply ->
              step(
                  attempt.onFinish(
                      reply.flatMap(LedgerCodec::decodeRecord).map(record -> record.get()))));
    }

    private void readStatus() {
      send(
          call().setStatus(status(key)).build(),
          reply -> step(attempt.onStatus(reply.flatMap(LedgerCodec::decodeRecord))));
    }

    private void respondToCaller(CallerResponse response) {
      if (!hasResponded) {
        hasResponded = true;
        checkResponse(this, response);
      }
    }

    /** Sends a call at most three times, as the client does, and passes on the first reply. */
    private void send(LedgerCall call, Consumer<Either<LedgerError, LedgerReply>> onReply) {
      boolean[] replied = new boolean[1];
      Consumer<Either<LedgerError, LedgerReply>> firstReplyOnly =
          reply -> {
            if (!replied[0]) {
              replied[0] = true;
              onReply.accept(reply);
            }
          };
      for (int resend = 0; resend < 3; resend++) {
        vm.run(
            resend * 500L,
            () -> {
              if (!replied[0] && !isLost()) {
                schedule(delayMs(), () -> deliver(call, firstReplyOnly));
              }
            });
      }
      vm.run(1_500, () -> firstReplyOnly.accept(Either.left(new LedgerError.Unreachable())));
    }

    private void deliver(LedgerCall call, Consumer<Either<LedgerError, LedgerReply>> onReply) {
      LedgerReply reply = handle(call);
      if (!isLost()) {
        vm.run(delayMs(), () -> onReply.accept(Either.right(reply)));
      }
    }
  }
}
