package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.admission.PathStage;
import org.ragwortpick.policy.admission.RequestPath;
import org.ragwortpick.policy.admission.StageBacklog;
import org.ragwortpick.policy.admission.StageBacklogs;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates three stage services with requests of three kinds and sixteen workspaces: a wave, a
 * burst of one kind and 30 of 100 upstreams slow or gone. Guards against overload control that lets
 * a burst of the least urgent kind hurt the most urgent one, that admits requests which fail after
 * their first stage, that starves a workspace, or that refuses late.
 */
public final class PathLoadTest {

  private static final Map<String, BatchProfile> PROFILES = new LinkedHashMap<>();
  private static final Map<String, Integer> UPSTREAMS = Map.of("a", 13, "b", 11, "c", 13);

  static {
    PROFILES.put("a", RoutingFixture.batch(21, 240, 8, 1L << 40));
    PROFILES.put("b", RoutingFixture.batch(61, 240, 3, 1L << 40));
    PROFILES.put("c", RoutingFixture.batch(78, 240, 2.5, 1L << 40));
  }

  private static final List<Kind> KINDS =
      List.of(
          new Kind(0, 2_000, List.of("a", "b", "c")),
          new Kind(10, 1_500, List.of("b", "c")),
          new Kind(20, 2_000, List.of("a", "b", "c")));
  private static final int MOST_URGENT = 0;
  private static final int LEAST_URGENT = 2;

  private static final double REQUESTS_PER_SECOND_OF_KIND = 72;
  private static final double WAVE_AMPLITUDE = 0.55;
  private static final double WAVE_PERIOD_MS = 40_000;
  private static final long BURST_FROM_MS = 8_000;
  private static final long BURST_TO_MS = 13_000;
  private static final long FAULT_FROM_MS = 7_000;
  private static final long FAULT_TO_MS = 15_000;
  private static final long DURATION_MS = 20_000;
  private static final long DEADLINE_MS = 6_000;
  private static final long RESPONSE_MS = 150;
  private static final long ONE_WAY_MS = 2;
  private static final int ENTRY_VMS = 20;
  private static final int WORKSPACES = 16;

  /** Part of the requests that the first, large workspace sends. */
  private static final double LARGE_PART = 0.4;

  /** Part of the served work that the workspaces have as their minimum together. */
  private static final double MINIMUM_PART = 0.1;

  @DataProvider
  public static Object[][] loads() {
    return new Object[][] {{1L, 2.1, 2.5}, {2L, 2.5, 2.5}, {3L, 2.6, SimulatedStageService.GONE}};
  }

  @Test(dataProvider = "loads")
  public void burstOfLeastUrgentKindMeetsMarks(long seed, double burst, double fault) {
    Load calm = new Load(seed, true, LEAST_URGENT, 1, fault).run();
    Load off = new Load(seed, false, LEAST_URGENT, burst, fault).run();
    Load on = new Load(seed, true, LEAST_URGENT, burst, fault).run();
    String figures = "seed " + seed + "\ncalm " + calm + "\noff  " + off + "\non   " + on;
    Reporter.log(figures);
    Predicate<Outcome> urgent = outcome -> outcome.kindIndex == MOST_URGENT;
    assertTrue(
        on.count(urgent, Outcome::inTime) >= 0.98 * calm.count(urgent, Outcome::inTime), figures);
    assertTrue(on.wastedMs() <= off.wastedMs() / 2, figures);
    assertTrue(on.count(urgent, Outcome::inTime) >= off.count(urgent, Outcome::inTime), figures);
    if (fault != SimulatedStageService.GONE) {
      assertTrue(
          on.count(o -> true, Outcome::inTime) >= off.count(o -> true, Outcome::inTime), figures);
    }
    assertEquals(on.count(o -> true, Outcome::refusedLate), 0, figures);
    on.assertWorkspacesHaveMinimum(figures);
  }

  @Test
  public void burstOfMostUrgentKindWastesHalf() {
    long seed = 4;
    Load off = new Load(seed, false, MOST_URGENT, 2.5, SimulatedStageService.GONE).run();
    Load on = new Load(seed, true, MOST_URGENT, 2.5, SimulatedStageService.GONE).run();
    String figures = "seed " + seed + "\noff  " + off + "\non   " + on;
    Reporter.log(figures);
    assertTrue(on.wastedMs() <= off.wastedMs() / 2, figures);
    assertEquals(on.count(o -> true, Outcome::refusedLate), 0, figures);
  }

  private record Kind(int priority, long objectiveMs, List<String> services) {}

  /** One request and what became of it. */
  private static final class Outcome {
    private final String id;
    private final Kind kind;
    private final int kindIndex;
    private final String workspace;
    private final int entry;
    private final List<Integer> pieces = new ArrayList<>();
    private final long sentAtMs;
    private long answeredMs = -1;
    private long refusedMs = -1;
    private SubmissionEnd.Cause cause;
    private double workMs;

    private Outcome(String id, int kindIndex, String workspace, int entry, long sentAtMs) {
      this.id = id;
      this.kind = KINDS.get(kindIndex);
      this.kindIndex = kindIndex;
      this.workspace = workspace;
      this.entry = entry;
      this.sentAtMs = sentAtMs;
    }

    private boolean inTime() {
      return answeredMs >= 0 && answeredMs <= kind.objectiveMs;
    }

    /** A failure at the deadline is no refusal. */
    private boolean refusedLate() {
      return cause == SubmissionEnd.Cause.OVERLOADED && refusedMs > kind.objectiveMs / 8;
    }

    private boolean answered() {
      return answeredMs >= 0 && answeredMs <= DEADLINE_MS;
    }
  }

  /** Load of one run. The requests of each kind depend on the seed and its own rate only. */
  private static final class Load {
    private final VirtualTime time = new VirtualTime();
    private final long startMs = time.clock().millis();
    private final long seed;
    private final boolean on;
    private final int burstKind;
    private final double burst;
    private final double fault;
    private final Map<String, SimulatedStageService> services = new HashMap<>();
    private final Map<String, StageCollector> collectors = new HashMap<>();
    private final Map<String, PathAdmission> paths = new HashMap<>();
    private final List<StageBacklogs> known = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();

    private Load(long seed, boolean on, int burstKind, double burst, double fault) {
      this.seed = seed;
      this.on = on;
      this.burstKind = burstKind;
      this.burst = burst;
      this.fault = fault;
      PROFILES.forEach(this::createService);
      for (int i = 0; i < ENTRY_VMS; i++) {
        known.add(new StageBacklogs(time.clock()));
      }
    }

    private void createService(String name, BatchProfile profile) {
      SimulatedStageService service = new SimulatedStageService(time, profile, 1);
      List<Upstream> upstreams = new ArrayList<>();
      for (int i = 0; i < UPSTREAMS.get(name); i++) {
        String id = name + i;
        upstreams.add(TestUpstreams.ready(id, name, new HostPort("127.0.0.1", 10 + i), "dc"));
        if (i * 10 < UPSTREAMS.get(name) * 3) {
          time.schedule(FAULT_FROM_MS, () -> service.setSlowdown(id, fault));
          time.schedule(FAULT_TO_MS, () -> service.setSlowdown(id, 1));
        }
      }
      HostPort address = new HostPort("127.0.0.1", 5);
      VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
      PathAdmission path = new PathAdmission(() -> on, time.clock());
      services.put(name, service);
      paths.put(name, path);
      collectors.put(
          name,
          new StageCollector(
              name,
              () -> Optional.of(profile),
              () -> upstreams,
              () -> 1,
              new CollectorRole(
                  "vm", () -> List.of(vm), () -> true, any -> true, () -> 0, time.clock()),
              service,
              new RequestedPauses(time.clock(), new Random(1)),
              LimitsFixture.ofSingleVm(time.clock()),
              VersionGate.OPEN,
              (other, handles) -> {},
              time,
              time.clock(),
              path));
    }

    private Load run() {
      for (int kind = 0; kind < KINDS.size(); kind++) {
        schedule(kind);
      }
      time.runAll();
      for (Outcome outcome : outcomes) {
        services.values().forEach(service -> outcome.workMs += service.workMsOf(outcome.id));
      }
      return this;
    }

    private void schedule(int kind) {
      Random random = new Random(seed * 10 + kind);
      Random burstRandom = new Random(seed * 10 + kind + 5);
      double atMs = 0;
      int number = 0;
      while (atMs < DURATION_MS) {
        boolean bursting = kind == burstKind && atMs >= BURST_FROM_MS && atMs < BURST_TO_MS;
        double wave = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * atMs / WAVE_PERIOD_MS);
        double perMs = REQUESTS_PER_SECOND_OF_KIND * wave * (bursting ? burst : 1) / 1_000;
        Random source = bursting ? burstRandom : random;
        atMs += -Math.log(1 - source.nextDouble()) / perMs;
        boolean large = source.nextDouble() < LARGE_PART;
        int workspace = large ? 0 : 1 + source.nextInt(WORKSPACES - 1);
        Outcome outcome =
            new Outcome(
                "k" + kind + "-" + number++,
                kind,
                "w" + workspace,
                source.nextInt(ENTRY_VMS),
                (long) atMs);
        for (String service : outcome.kind.services) {
          outcome.pieces.add(
              switch (service) {
                case "a" -> 1 + source.nextInt(4);
                case "b" -> 2 + source.nextInt(5);
                default -> 3 + source.nextInt(6);
              });
        }
        outcomes.add(outcome);
        time.schedule((long) atMs, () -> submit(outcome, 0));
      }
    }

    private long minMs(Outcome outcome, int stage) {
      return (long)
          StageTimes.callMs(
              PROFILES.get(outcome.kind.services.get(stage)), outcome.pieces.get(stage));
    }

    private void submit(Outcome outcome, int stage) {
      String service = outcome.kind.services.get(stage);
      long elapsedMs = time.clock().millis() - startMs - outcome.sentAtMs;
      long followingMs = 0;
      long waitsMs = 0;
      List<PathStage> following = new ArrayList<>();
      for (int next = stage + 1; next < outcome.pieces.size(); next++) {
        String nextService = outcome.kind.services.get(next);
        followingMs += minMs(outcome, next);
        waitsMs += collectors.get(nextService).expectedWaitMs(outcome.kind.priority);
        following.add(
            new PathStage(
                next,
                nextService,
                outcome.pieces.get(next),
                minMs(outcome, next),
                List.of(next - 1)));
      }
      long objectiveMs = outcome.kind.objectiveMs - elapsedMs;
      RequestPath path =
          new RequestPath(
              outcome.workspace,
              Math.max(0, outcome.kind.objectiveMs / 8 - 20 - elapsedMs),
              objectiveMs,
              RESPONSE_MS,
              following);
      StageWork work =
          new StageWork(
              service,
              outcome.id,
              stage,
              outcome.pieces.get(stage),
              "",
              stage == 0 ? List.of() : List.of(new StageInput("before", "h", true)),
              1,
              DEADLINE_MS - elapsedMs - followingMs,
              objectiveMs - followingMs - RESPONSE_MS - (on ? 0 : waitsMs),
              outcome.kind.priority,
              "",
              false,
              on ? Optional.of(path) : Optional.empty());
      time.schedule(
          ONE_WAY_MS,
          () -> {
            if (on) {
              known.get(outcome.entry).on(path).forEach(paths.get(service).backlogs()::put);
            }
            collectors.get(service).submit(work, 0, end -> reply(outcome, stage, service, end));
          });
    }

    private void reply(Outcome outcome, int stage, String service, SubmissionEnd end) {
      Optional<StageBacklog> backlog = on ? collectors.get(service).backlog() : Optional.empty();
      time.schedule(
          ONE_WAY_MS,
          () -> {
            backlog.ifPresent(known.get(outcome.entry)::put);
            long elapsedMs = time.clock().millis() - startMs - outcome.sentAtMs;
            if (end instanceof SubmissionEnd.Failed failed) {
              outcome.cause = failed.cause();
              outcome.refusedMs = elapsedMs;
            } else if (stage + 1 < outcome.pieces.size()) {
              submit(outcome, stage + 1);
            } else {
              outcome.answeredMs = elapsedMs + RESPONSE_MS;
            }
          });
    }

    private long count(Predicate<Outcome> which, Predicate<Outcome> met) {
      return outcomes.stream().filter(which.and(met)).count();
    }

    private double wastedMs() {
      return outcomes.stream()
          .filter(outcome -> !outcome.answered())
          .mapToDouble(outcome -> outcome.workMs)
          .sum();
    }

    private void assertWorkspacesHaveMinimum(String figures) {
      Predicate<Outcome> inBurst = o -> o.sentAtMs >= BURST_FROM_MS && o.sentAtMs < BURST_TO_MS;
      double minimum = MINIMUM_PART * count(inBurst, Outcome::answered) / WORKSPACES;
      for (int i = 0; i < WORKSPACES; i++) {
        String name = "w" + i;
        Predicate<Outcome> own = inBurst.and(o -> o.workspace.equals(name));
        assertTrue(
            count(own, Outcome::answered) >= Math.min(minimum, count(own, o -> true)),
            name + ", " + figures);
      }
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < KINDS.size(); i++) {
        int kind = i;
        Predicate<Outcome> own = o -> o.kindIndex == kind;
        text.append(
            String.format(
                Locale.ROOT,
                "kind %d: %d of %d in time, %d answered; ",
                kind,
                count(own, Outcome::inTime),
                count(own, o -> true),
                count(own, Outcome::answered)));
      }
      return text
          + String.format(
              Locale.ROOT,
              "%.1f s wasted, %d refused late",
              wastedMs() / 1_000,
              count(o -> true, Outcome::refusedLate));
    }
  }
}
