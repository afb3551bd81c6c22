package org.ragwortpick.batch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.VirtualTime;
import org.ragwortpick.policy.admission.PathAdmission;
import org.ragwortpick.policy.limit.LimitsFixture;
import org.ragwortpick.policy.limit.RequestedPauses;
import org.ragwortpick.rollout.VersionGate;
import org.ragwortpick.routing.RoutingFixture;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.VmRecord;
import org.ragwortpick.sync.VmState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against calls to an upstream of a stage service in the retry time of its refusal. */
public final class PausedStageUpstreamTest {

  private static final long TIME_LEFT_MS = 20_000;

  private VirtualTime time;
  private ScriptedTransport transport;
  private RequestedPauses pauses;
  private List<Upstream> upstreams;
  private List<SubmissionEnd> ends;
  private StageCollector collector;

  @BeforeMethod
  public void setUp() {
    time = new VirtualTime();
    transport = new ScriptedTransport();
    pauses = new RequestedPauses(time.clock(), new SplittableRandom(1));
    upstreams = new ArrayList<>(List.of(upstream("u1")));
    ends = new ArrayList<>();
    HostPort address = new HostPort("127.0.0.1", 5);
    VmRecord vm = new VmRecord("vm", 1, 1, "dc", address, address, VmState.READY, 0, false, 0);
    collector =
        new StageCollector(
            "svc",
            () -> Optional.of(RoutingFixture.batch(4, 100, 10, 1_000)),
            () -> upstreams,
            () -> 1,
            new CollectorRole(
                "vm", () -> List.of(vm), () -> true, any -> true, () -> 0, time.clock()),
            transport,
            pauses,
            LimitsFixture.ofSingleVm(time.clock()),
            VersionGate.OPEN,
            (service, handles) -> {},
            time,
            time.clock(),
            new PathAdmission(() -> false, time.clock()));
  }

  private static Upstream upstream(String id) {
    return TestUpstreams.ready(id, "svc", new HostPort("127.0.0.1", 9), "dc-1");
  }

  private void submit(String id, int pieces) {
    submit(id, pieces, TIME_LEFT_MS);
  }

  private void submit(String id, int pieces, long targetMs) {
    StageWork work =
        new StageWork("svc", id, 0, pieces, "key", List.of(), 10, TIME_LEFT_MS, targetMs, 0, "");
    collector.submit(work, 0, ends::add);
  }

  private static List<String> ids(ScriptedTransport.Call call) {
    return call.pieces().stream().map(piece -> piece.requestId() + piece.piece()).toList();
  }

  /** Lets the upstream of the oldest call refuse it and request a pause. */
  private Upstream refuse(long pauseMs) {
    ScriptedTransport.Call call = transport.take();
    pauses.record(call.upstream(), pauseMs);
    call.whenDone().accept(new BatchOutcome.Refused());
    return call.upstream();
  }

  private void advance(long durationMs) {
    time.runUntil(time.clock().millis() + durationMs);
  }

  @Test
  public void upstreamThatRequestedPauseGetsNoBatchBeforeItsEnd() {
    submit("a", 2);
    refuse(3_000);
    submit("b", 2);
    advance(2_900);
    assertEquals(transport.calls().size(), 0);
    advance(700);
    assertEquals(ids(transport.calls().get(0)), List.of("a0", "a1", "b0", "b1"));
  }

  @Test
  public void pauseIsNoFailureAfterItsEnd() {
    submit("a", 1);
    for (int i = 0; i < 5; i++) {
      refuse(200);
      advance(300);
      assertEquals(transport.calls().size(), 1, "pause " + i);
    }
  }

  @Test
  public void otherUpstreamTakesWorkDuringPause() {
    upstreams.add(upstream("u2"));
    submit("a", 1);
    Upstream paused = refuse(10_000);
    for (int i = 0; i < 5; i++) {
      assertNotEquals(transport.calls().get(0).upstream().id(), paused.id());
      transport.produce(transport.take());
      submit("b" + i, 1);
    }
  }

  @Test
  public void newWorkIsRefusedWithRemainingPauseIfAllUpstreamsPause() {
    submit("a", 1);
    refuse(3_000);
    submit("b", 1, 1_000);
    SubmissionEnd.Failed failed = (SubmissionEnd.Failed) ends.get(0);
    assertEquals(failed.cause(), SubmissionEnd.Cause.OVERLOADED);
    assertTrue(failed.waitMs() >= 3_000, "wait " + failed.waitMs());
  }

  @Test
  public void releaseWaitsForEndOfPause() {
    submit("a", 1);
    ScriptedTransport.Call call = transport.take();
    transport.produce(call);
    pauses.record(call.upstream(), 1_000);
    collector.release(List.of("h0"));
    assertEquals(transport.released(), List.of());
    advance(1_600);
    assertEquals(transport.released(), List.of("h0"));
  }
}
