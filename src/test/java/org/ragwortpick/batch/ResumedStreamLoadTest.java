package org.ragwortpick.batch;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.admission.RequestPath;
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
 * Simulates the second stage of a route beyond its capacity while callers take up streams that
 * broke off, as after the end of a VM. Guards against take-ups that are queued and refused like new
 * requests although little of their time is left.
 */
public final class ResumedStreamLoadTest {

  private static final BatchProfile PROFILE = RoutingFixture.batch(17, 240, 11.76, 1_870_000);
  private static final long RESULT_BYTES = 60_000;
  private static final int UPSTREAMS = 4;
  private static final int PIECES = 4;
  private static final double NEW_PER_SECOND = 80;
  private static final double RESUMED_PER_SECOND = 8;
  private static final long DURATION_MS = 20_000;
  private static final long TARGET_MS = 1_200;
  private static final long NEW_DEADLINE_MS = 11_000;

  /** Time left after the first stage of a stream whose caller noticed late that it had broken. */
  private static final long RESUMED_DEADLINE_MS = 1_500;

  private static final long RESULT_USE_MS = 300;

  /** The share of take-ups that go on, as part of that of new streams that begin. */
  private static final double MIN_PART = 0.5;

  @DataProvider
  public static Object[][] runs() {
    return new Object[][] {{1L, false}, {2L, false}, {3L, false}, {1L, true}, {2L, true}};
  }

  @Test(dataProvider = "runs")
  public void takeUpsAreNotStarvedByNewRequests(long seed, boolean overloadControl) {
    Shares shares = run(seed, overloadControl);
    assertTrue(
        shares.resumed() >= MIN_PART * shares.begun(),
        "seed " + seed + ", overload control " + overloadControl + ": " + shares);
    assertTrue(shares.begun() > 0.3, "seed " + seed + ": new requests starve, " + shares);
  }

  private static Shares run(long seed, boolean overloadControl) {
    VirtualTime time = new VirtualTime();
    PathAdmission paths = new PathAdmission(() -> overloadControl, time.clock());
    StageCollector collector = collector(time, paths);
    List<Outcome> outcomes = new ArrayList<>();
    Random random = new Random(seed);
    double atMs = 0;
    while (atMs < DURATION_MS) {
      double perSecond = NEW_PER_SECOND + RESUMED_PER_SECOND;
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      boolean resumed = random.nextDouble() < RESUMED_PER_SECOND / perSecond;
      Outcome outcome = new Outcome("r" + outcomes.size(), resumed);
      outcomes.add(outcome);
      time.schedule((long) atMs, () -> submit(time, collector, outcome, overloadControl));
    }
    time.runAll();
    return new Shares(share(outcomes, true), share(outcomes, false));
  }

  private static StageCollector collector(VirtualTime time, PathAdmission paths) {
    List<Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      HostPort address = new HostPort("127.0.0.1", 10 + i);
      upstreams.add(TestUpstreams.ready("u" + i, "svc", address, "dc"));
    }
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    return new StageCollector(
        "svc",
        () -> Optional.of(PROFILE),
        () -> upstreams,
        () -> 1,
        new CollectorRole("vm", () -> List.of(vm), () -> true, any -> true, () -> 0, time.clock()),
        new SimulatedStageService(time, PROFILE, RESULT_BYTES),
        new RequestedPauses(time.clock(), new Random(1)),
        LimitsFixture.ofSingleVm(time.clock()),
        VersionGate.OPEN,
        (other, handles) -> {},
        time,
        time.clock(),
        paths);
  }

  private static void submit(
      VirtualTime time, StageCollector collector, Outcome outcome, boolean overloadControl) {
    long deadlineMs = outcome.resumed ? RESUMED_DEADLINE_MS : NEW_DEADLINE_MS;
    long targetMs = outcome.resumed ? RESUMED_DEADLINE_MS : TARGET_MS;
    RequestPath path = new RequestPath("w", TARGET_MS / 8, targetMs, 0, List.of());
    StageWork work =
        new StageWork(
            "svc",
            outcome.id,
            1,
            PIECES,
            "",
            List.of(new StageInput("before", "i-" + outcome.id, true)),
            RESULT_BYTES,
            deadlineMs,
            targetMs,
            10,
            "",
            outcome.resumed,
            overloadControl ? Optional.of(path) : Optional.empty());
    collector.submit(
        work,
        0,
        end -> {
          if (end instanceof SubmissionEnd.Produced produced) {
            outcome.served = true;
            time.schedule(RESULT_USE_MS, () -> collector.release(produced.handles()));
          }
        });
  }

  private static double share(List<Outcome> outcomes, boolean resumed) {
    return outcomes.stream()
        .filter(outcome -> outcome.resumed == resumed)
        .mapToInt(outcome -> outcome.served ? 1 : 0)
        .average()
        .orElseThrow();
  }

  /**
   * Shares of the requests whose stage was run in time.
   *
   * @param resumed of the take-ups
   * @param begun of the new requests
   */
  private record Shares(double resumed, double begun) {}

  private static final class Outcome {

    private final String id;
    private final boolean resumed;
    private boolean served;

    private Outcome(String id, boolean resumed) {
      this.id = id;
      this.resumed = resumed;
    }
  }
}
