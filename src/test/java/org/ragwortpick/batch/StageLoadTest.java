package org.ragwortpick.batch;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.BatchProfile;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates the peak load of one stage service: a burst to 1.7 times the normal rate, with calls
 * that cost more than their pieces. Guards against batching, ordering and refusals that make all
 * requests of a burst miss their target, or that serve urgent requests less than others.
 */
public final class StageLoadTest {

  /**
   * Profile of the catalogue service of one deployment, with four upstreams in four data centres.
   */
  private static final BatchProfile PROFILE = RoutingFixture.batch(17, 240, 11.76, 1_870_000);

  private static final long RESULT_BYTES = 60_000;
  private static final int UPSTREAMS = 4;
  private static final int PIECES = 4;
  private static final double NORMAL_REQUESTS_PER_SECOND = 20;
  private static final double BURST_FACTOR = 1.7;
  private static final long BURST_FROM_MS = 5_000;
  private static final long BURST_TO_MS = 11_000;
  private static final long DURATION_MS = 20_000;
  private static final long TARGET_MS = 1_200;
  private static final long DEADLINE_MS = 6_000;

  /** Time after which the next stage has used a result. */
  private static final long RESULT_USE_MS = 300;

  private static final int URGENT = 0;
  private static final int LESS_URGENT = 2;

  /** Tolerated difference between two shares of requests. */
  private static final double MAX_SHARE_DIFFERENCE = 0.05;

  /** Fraction of the average served share below which less urgent requests count as starved. */
  private static final double MIN_SHARE_FRACTION = 0.25;

  @DataProvider
  public static Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void batchingServesMoreOfBurstInTime(long seed) {
    double batched = share(runWithCollector(seed, true), Outcome::inTime);
    double unbatched = share(runWithoutBatching(seed), Outcome::inTime);
    assertTrue(batched > unbatched, "seed " + seed + ": " + batched + " beside " + unbatched);
  }

  @Test(dataProvider = "seeds")
  public void urgentRequestsAreNotServedLessAndOthersDoNotStarve(long seed) {
    List<Outcome> outcomes = runWithCollector(seed, true);
    double all = share(outcomes, Outcome::served);
    double urgent = share(withPriority(outcomes, URGENT), Outcome::served);
    double others = share(withPriority(outcomes, LESS_URGENT), Outcome::served);
    assertTrue(
        urgent >= others - MAX_SHARE_DIFFERENCE, "seed " + seed + ": " + urgent + ", " + others);
    assertTrue(others >= MIN_SHARE_FRACTION * all, "seed " + seed + ": " + others + " of " + all);
  }

  @Test(dataProvider = "seeds")
  public void preferredDataCentreHalvesTrafficAtNoCostInTime(long seed) {
    List<Outcome> withPreference = runWithCollector(seed, true);
    List<Outcome> withoutPreference = runWithCollector(seed, false);
    double crossingWithPreference = share(withPreference, Outcome::crossing);
    double crossingWithoutPreference = share(withoutPreference, Outcome::crossing);
    assertTrue(
        crossingWithPreference < crossingWithoutPreference / 2,
        "seed " + seed + ": " + crossingWithPreference + " beside " + crossingWithoutPreference);
    double inTimeWithPreference = share(withPreference, Outcome::inTime);
    double inTimeWithoutPreference = share(withoutPreference, Outcome::inTime);
    assertTrue(
        inTimeWithPreference >= inTimeWithoutPreference - MAX_SHARE_DIFFERENCE,
        "seed " + seed + ": " + inTimeWithPreference + " beside " + inTimeWithoutPreference);
  }

  private static List<Outcome> withPriority(List<Outcome> outcomes, int priority) {
    return outcomes.stream().filter(outcome -> outcome.priority == priority).toList();
  }

  private static double share(List<Outcome> outcomes, ToDoubleFunction<Outcome> part) {
    return outcomes.stream().mapToDouble(part).average().orElseThrow();
  }

  private static String dataCentre(int upstream) {
    return "dc-" + upstream;
  }

  private static List<Upstream> upstreams() {
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(
          TestUpstreams.ready("u" + i, "svc", new HostPort("127.0.0.1", 10 + i), dataCentre(i)));
    }
    return upstreams;
  }

  /** Schedules the requests of one run; the same seed gives the same requests. */
  private static List<Outcome> schedule(VirtualTime time, long seed, Consumer<Outcome> start) {
    Random random = new Random(seed);
    List<Outcome> outcomes = new ArrayList<>();
    long startMs = time.clock().millis();
    double atMs = 0;
    while (atMs < DURATION_MS) {
      boolean burst = atMs >= BURST_FROM_MS && atMs < BURST_TO_MS;
      double perSecond =
          burst ? BURST_FACTOR * NORMAL_REQUESTS_PER_SECOND : NORMAL_REQUESTS_PER_SECOND;
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      Outcome outcome = new Outcome(outcomes.size(), startMs + (long) atMs);
      outcome.priority = random.nextBoolean() ? URGENT : LESS_URGENT;
      outcome.preferredUpstream = random.nextInt(UPSTREAMS);
      outcomes.add(outcome);
      time.schedule((long) atMs, () -> start.accept(outcome));
    }
    return outcomes;
  }

  private static List<Outcome> runWithCollector(long seed, boolean preferDataCentre) {
    VirtualTime time = new VirtualTime();
    SimulatedStageService service = new SimulatedStageService(time, PROFILE, RESULT_BYTES);
    List<Upstream> upstreams = upstreams();
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc-0", address, address, VmState.READY, 0, false, 0);
    StageCollector collector =
        new StageCollector(
            "svc",
            () -> Optional.of(PROFILE),
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
            new PathAdmission(() -> false, time.clock()));
    List<Outcome> outcomes =
        schedule(
            time,
            seed,
            outcome ->
                collector.submit(
                    work(outcome, preferDataCentre ? dataCentre(outcome.preferredUpstream) : ""),
                    0,
                    end -> {
                      if (end instanceof SubmissionEnd.Produced produced) {
                        outcome.produced(time.clock().millis(), service, produced.handles());
                        time.schedule(RESULT_USE_MS, () -> collector.release(produced.handles()));
                      }
                    }));
    time.runAll();
    return outcomes;
  }

  private static StageWork work(Outcome outcome, String dataCentre) {
    return new StageWork(
        "svc",
        "r" + outcome.number,
        1,
        PIECES,
        "",
        List.of(new StageInput("before", "i" + outcome.number, true)),
        RESULT_BYTES,
        DEADLINE_MS,
        TARGET_MS,
        outcome.priority,
        dataCentre);
  }

  /**
   * Simulates the load without batching: each request calls the next upstream in turn with its own
   * pieces only.
   */
  private static List<Outcome> runWithoutBatching(long seed) {
    VirtualTime time = new VirtualTime();
    SimulatedStageService service = new SimulatedStageService(time, PROFILE, RESULT_BYTES);
    List<Upstream> upstreams = upstreams();
    List<Outcome> outcomes =
        schedule(
            time,
            seed,
            outcome -> {
              Upstream upstream = upstreams.get(outcome.number % UPSTREAMS);
              List<PieceCall> calls = new ArrayList<>();
              for (int piece = 0; piece < PIECES; piece++) {
                calls.add(
                    new PieceCall("r" + outcome.number, 1, piece, DEADLINE_MS, "", List.of("i")));
              }
              service.run(
                  upstream,
                  calls,
                  DEADLINE_MS,
                  done -> {
                    List<String> handles = handlesOf(done);
                    if (handles.size() == PIECES) {
                      outcome.produced(time.clock().millis(), service, handles);
                    }
                    time.schedule(
                        RESULT_USE_MS, () -> service.release(upstream, handles, () -> {}));
                  });
            });
    time.runAll();
    return outcomes;
  }

  private static List<String> handlesOf(BatchOutcome outcome) {
    return ((BatchOutcome.Answered) outcome)
        .results().stream()
            .filter(PieceResult.Produced.class::isInstance)
            .map(result -> ((PieceResult.Produced) result).handle())
            .toList();
  }

  /** Outcome of one request. */
  private static final class Outcome {

    private final int number;
    private final long sentAtMs;
    private int priority;
    private int preferredUpstream;
    private long tookMs = Long.MAX_VALUE;
    private double crossing;

    private Outcome(int number, long sentAtMs) {
      this.number = number;
      this.sentAtMs = sentAtMs;
    }

    private void produced(long nowMs, SimulatedStageService service, List<String> handles) {
      tookMs = nowMs - sentAtMs;
      long foreign =
          handles.stream()
              .filter(handle -> !service.producerOf(handle).equals("u" + preferredUpstream))
              .count();
      crossing = (double) foreign / handles.size();
    }

    private double inTime() {
      return tookMs <= TARGET_MS ? 1 : 0;
    }

    private double served() {
      return tookMs <= DEADLINE_MS ? 1 : 0;
    }

    private double crossing() {
      return crossing;
    }
  }
}
