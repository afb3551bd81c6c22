package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.NamedLimits;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against calls beyond the rate that an upstream of a stage service names. */
public final class LimitedStageUpstreamTest {

  private static final long TIME_LEFT_MS = 20_000;
  private static final Upstream UPSTREAM =
      TestUpstreams.ready("u1", "svc", new HostPort("127.0.0.1", 9), "dc-1");

  private VirtualTime time;
  private ScriptedTransport transport;
  private NamedLimits limits;
  private int rank;
  private List<SubmissionEnd> ends;
  private StageCollector collector;

  @BeforeMethod
  public void setUp() {
    time = new VirtualTime();
    transport = new ScriptedTransport();
    rank = 0;
    limits = LimitsFixture.ofVm(time.clock(), () -> rank);
    ends = new ArrayList<>();
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    collector =
        new StageCollector(
            "svc",
            () -> Optional.of(RoutingFixture.batch(4, 100, 10, 1_000)),
            () -> List.of(UPSTREAM),
            () -> 1,
            new CollectorRole(
                "vm", () -> List.of(vm), () -> true, any -> true, () -> 0, time.clock()),
            transport,
            new RequestedPauses(time.clock(), new SplittableRandom(1)),
            limits,
            VersionGate.OPEN,
            (service, handles) -> {},
            time,
            time.clock(),
            new PathAdmission(() -> false, time.clock()));
  }

  private void submit(String id, long targetMs) {
    StageWork work =
        new StageWork("svc", id, 0, 1, "key", List.of(), 10, TIME_LEFT_MS, targetMs, 0, "");
    collector.submit(work, 0, ends::add);
  }

  private void advance(long durationMs) {
    time.runUntil(time.clock().millis() + durationMs);
  }

  @Test
  public void callWaitsForThePermitOfItsUpstream() {
    limits.record(UPSTREAM, 1, time.clock().millis());
    assertTrue(limits.tryTake(UPSTREAM));
    submit("a", TIME_LEFT_MS);
    advance(800);
    assertEquals(transport.calls().size(), 0);
    advance(1_000);
    assertEquals(transport.calls().size(), 1);
  }

  @Test
  public void workIsRefusedAtOnceByAVmWithoutAPartOfTheLimit() {
    limits.record(UPSTREAM, 1, time.clock().millis());
    rank = 1;
    submit("a", TIME_LEFT_MS);
    SubmissionEnd.Failed failed = (SubmissionEnd.Failed) ends.get(0);
    assertEquals(failed.cause(), SubmissionEnd.Cause.UNAVAILABLE);
    assertEquals(transport.calls().size(), 0);
  }

  @Test
  public void queueOfALimitedUpstreamIsKnownToBeLong() {
    submit("first", TIME_LEFT_MS);
    limits.record(UPSTREAM, 0.5, time.clock().millis());
    for (int i = 0; i < 8; i++) {
      submit("a" + i, TIME_LEFT_MS);
    }
    assertTrue(collector.expectedWaitMs(10) > 3_000, "wait " + collector.expectedWaitMs(10));
  }

  @Test
  public void resultsAtALimitedUpstreamAreNotReleased() {
    submit("a", TIME_LEFT_MS);
    transport.produce(transport.take());
    limits.record(UPSTREAM, 1, time.clock().millis());
    collector.release(List.of("h0"));
    advance(3_000);
    assertEquals(transport.released(), List.of());
  }
}
