package org.ragwortpick.bench;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Stage;
import org.ragwortpick.config.Workspace;
import org.ragwortpick.policy.AdmissionRequest;
import org.ragwortpick.policy.AttemptResult;
import org.ragwortpick.policy.Candidate;
import org.ragwortpick.policy.PolicySet;
import org.ragwortpick.policy.SelectionRequest;
import org.ragwortpick.policy.admission.FairShareAdmissionController;
import org.ragwortpick.policy.budget.MeasuredDeadlineBudget;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.RequestContent;
import org.ragwortpick.policy.select.BoundedPrefixIndex;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;

/** Measures the time of each decision and the memory of its state at several sizes. */
final class DecisionCosts {

  private static final int[] UPSTREAM_COUNTS = {25, 400, 4_000};
  private static final int[] WORKSPACE_COUNTS = {5, 500, 15_000};
  private static final int[] CRASHED_PART_COUNTS = {0, 500};
  private static final int WARM_UP_CALLS = 50_000;
  private static final int MEASURED_CALLS = 50_000;
  private static final int PREFIXES_PER_ENGINE = 512;
  private static final int MAX_PREFIXES = 100_000;
  private static final int SLOTS = 8;
  private static final long SEED = 20_261_204;
  private static final double BYTES_PER_MB = 1_048_576.0;

  private final Clock clock = new MonotonicClock();

  /** Measures and prints the time and memory at all sizes. */
  void print() {
    System.out.printf(Locale.ROOT, "%-34s %10s %14s%n", "decision", "size", "ns per call");
    for (int size : UPSTREAM_COUNTS) {
      measureUpstreamDecisions(size);
    }
    for (int size : WORKSPACE_COUNTS) {
      measureAdmission(size);
    }
    measureBudgets();
    for (int size : CRASHED_PART_COUNTS) {
      measureQuarantine(size);
    }
    System.out.printf(Locale.ROOT, "%n%-34s %10s %14s%n", "state", "size", "MB");
    for (int size : UPSTREAM_COUNTS) {
      measureMemory("prefix index", size, () -> createFilledIndex(size));
    }
    for (int size : UPSTREAM_COUNTS) {
      measureMemory("upstream accounts", size, () -> policiesWithUpstreams(size));
    }
    for (int size : WORKSPACE_COUNTS) {
      measureMemory("admission, one waiting each", size, () -> createFilledAdmission(size));
    }
    measureMemory("histograms, 14 pipelines of 6", 14 * 6, this::createFilledBudget);
  }

  private void measureUpstreamDecisions(int size) {
    PolicySet policies = PolicySet.create("dc0", Configuration.EMPTY, clock, random());
    List<Upstream> upstreams = createUpstreams(size);
    List<Candidate> candidates = policies.candidates(upstreams);
    for (int i = 0; i < size; i++) {
      policies.prefixIndex().recordResponse(upstreams.get(i).id(), 1 + i % 1_000);
    }
    SelectionRequest plain = new SelectionRequest("s", 0, Set.of());
    measureTime("select by load", size, i -> policies.selector().select(plain, candidates));
    measureTime(
        "select by prefix",
        size,
        i ->
            policies
                .selector()
                .select(new SelectionRequest("s", 1 + i % 1_000, Set.of()), candidates));
    measureTime(
        "limit (acquire and release)",
        size,
        i -> {
          Upstream upstream = upstreams.get(i % size);
          policies.limiter().tryAcquire(upstream);
          policies.limiter().release(upstream, AttemptResult.SUCCESS, 10);
        });
    measureTime("looks cold", size, i -> policies.limiter().looksCold(upstreams.get(i % size)));
  }

  private void measureQuarantine(int crashedParts) {
    ContentQuarantine quarantine =
        new ContentQuarantine(
            new SyncedCrashEvidence("vm", new SoftTable(), () -> {}),
            "vm",
            () -> List.of("vm"),
            clock);
    List<Upstream> upstreams = createUpstreams(2);
    Upstream upstream = upstreams.get(0);
    for (int i = 0; i < crashedParts; i++) {
      quarantine.recordCrash(upstreams.get(1), RequestContent.ofParts(List.of("crashed" + i)));
    }
    List<String> unseen = List.of("first", "second");
    measureTime(
        "quarantine, prompt without parts",
        crashedParts,
        i -> quarantine.decide("s", RequestContent.ofParts(List.of())));
    measureTime(
        "quarantine, parts never blamed",
        crashedParts,
        i -> quarantine.decide("s", RequestContent.ofParts(unseen)));
    measureTime(
        "quarantine, sound response",
        crashedParts,
        i ->
            quarantine.recordSound(
                upstream, RequestContent.ofParts(List.of("first", "second" + i % 1_000)), 0));
  }

  private void measureAdmission(int size) {
    FairShareAdmissionController idle = createAdmission(size, 64);
    measureTime(
        "admit and release, idle",
        size,
        i -> {
          idle.admit(new AdmissionRequest("w" + i % size, Long.MAX_VALUE));
          idle.release("w" + i % size);
        });
    FairShareAdmissionController busy = createAdmission(size, 64);
    List<String> granted = new ArrayList<>();
    measureTime(
        "admit and release, all waiting",
        size,
        i -> {
          String workspace = "w" + i % size;
          busy.admit(new AdmissionRequest(workspace, Long.MAX_VALUE))
              .thenAccept(
                  admitted -> {
                    if (admitted) {
                      granted.add(workspace);
                    }
                  });
          if (i >= size && !granted.isEmpty()) {
            busy.release(granted.remove(granted.size() - 1));
          }
        });
  }

  private void measureBudgets() {
    MeasuredDeadlineBudget budget = createFilledBudget();
    Pipeline pipeline = createPipeline(0);
    measureTime(
        "budget (stage and can finish)",
        6,
        i -> {
          budget.canFinish(pipeline, i % 6, 2_000);
          budget.stageBudgetMs(pipeline, i % 6, 2_000);
        });
    measureTime("budget (record)", 6, i -> budget.recordStage(pipeline, i % 6, i % 900));
    PolicySet policies = PolicySet.create("dc0", Configuration.EMPTY, clock, random());
    measureTime(
        "retry budget",
        1,
        i -> {
          policies.retryBudget().recordFirstAttempt();
          policies.retryBudget().tryTake();
        });
  }

  private void measureTime(String decision, int size, IntConsumer call) {
    for (int i = 0; i < WARM_UP_CALLS; i++) {
      call.accept(i);
    }
    Instant start = clock.instant();
    for (int i = 0; i < MEASURED_CALLS; i++) {
      call.accept(i);
    }
    double nsPerCall = (double) Duration.between(start, clock.instant()).toNanos() / MEASURED_CALLS;
    System.out.printf(Locale.ROOT, "%-34s %10d %14.0f%n", decision, size, nsPerCall);
  }

  private static void measureMemory(String state, int size, Supplier<Object> create) {
    long usedBefore = usedHeapBytes();
    Object createdState = create.get();
    double usedMb = (usedHeapBytes() - usedBefore) / BYTES_PER_MB;
    System.out.printf(Locale.ROOT, "%-34s %10d %14.2f%n", state, size, usedMb);
    if (createdState == null) {
      throw new IllegalStateException("no state was created");
    }
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static SplittableRandom random() {
    return new SplittableRandom(SEED);
  }

  private static List<Upstream> createUpstreams(int size) {
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      upstreams.add(
          new Upstream(
              "engine-" + i,
              1,
              1,
              new HostPort("10.0.0.1", 1),
              "dc" + i % 9,
              "s",
              "m",
              "1",
              List.of(),
              UpstreamState.READY,
              SLOTS,
              2,
              i % SLOTS,
              true));
    }
    return upstreams;
  }

  private static Object createFilledIndex(int size) {
    BoundedPrefixIndex index = new BoundedPrefixIndex(PREFIXES_PER_ENGINE, MAX_PREFIXES);
    for (int prefix = 0; prefix < PREFIXES_PER_ENGINE; prefix++) {
      for (int i = 0; i < size; i++) {
        index.recordResponse("engine-" + i, 1_000_000L + prefix * 31L + i % 40);
      }
    }
    return index;
  }

  private Object policiesWithUpstreams(int size) {
    PolicySet policies = PolicySet.create("dc0", Configuration.EMPTY, clock, random());
    policies.candidates(createUpstreams(size)).forEach(candidate -> {});
    return policies;
  }

  private FairShareAdmissionController createAdmission(int size, int capacity) {
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      workspaces.add(new Workspace("w" + i, 1 + i % 3));
    }
    Inventory inventory = new Inventory("r", List.of(), List.of(), List.of(), workspaces);
    Rules rules = new Rules(List.of(), List.of("w0", "w1"), 1, Map.of());
    FairShareAdmissionController controller = new FairShareAdmissionController(clock, 256, 100_000);
    controller.update(new Configuration(1, inventory, rules), capacity);
    return controller;
  }

  private Object createFilledAdmission(int size) {
    FairShareAdmissionController controller = createAdmission(size, 0);
    for (int i = 0; i < size; i++) {
      controller.admit(new AdmissionRequest("w" + i, Long.MAX_VALUE));
    }
    return controller;
  }

  private static Pipeline createPipeline(int number) {
    List<Stage> stages = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      stages.add(new Stage("s" + i, "service" + i, 0));
    }
    return new Pipeline("p" + number, 3_000, stages);
  }

  private MeasuredDeadlineBudget createFilledBudget() {
    MeasuredDeadlineBudget budget = new MeasuredDeadlineBudget(clock);
    for (int number = 0; number < 14; number++) {
      for (int i = 0; i < 600; i++) {
        budget.recordStage(createPipeline(number), i % 6, i);
      }
    }
    return budget;
  }
}
