package org.ragwortpick.entry.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.ScriptedUpstreams;
import org.ragwortpick.entry.VirtualEntry;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.sync.Upstream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against attempts beyond the budgets, leaked slots and work sent where none is allowed. */
public final class StageRunTest {

  private VirtualEntry entry;
  private ScriptedUpstreams upstreams;
  private List<StageResult> results;
  private List<Integer> offsets;

  @BeforeMethod
  public void prepare() {
    entry = new VirtualEntry();
    upstreams = new ScriptedUpstreams();
    results = new ArrayList<>();
    offsets = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      HostPort address = new HostPort("10.0.0." + i, 80);
      entry.fakes().announce(EntryFakes.upstream("e" + i, address, "engine", "dc-" + i));
    }
  }

  @AfterMethod
  public void allSlotsAreReleased() {
    assertEquals(entry.fakes().slotsInUse(), 0);
  }

  private void start(boolean stream, boolean idempotent) {
    RequestContext request = entry.request(1_000);
    StageTask task =
        new StageTask(
            "s", "engine", "/v1/x", stream, idempotent, false, 0, (offset, text) -> new byte[0]);
    StageRun run =
        new StageRun(
            task,
            800,
            request,
            entry.dependencies(upstreams),
            (offset, text) -> offsets.add(offset),
            results::add);
    request.serialExecutor().execute(run::start);
  }

  private RequestError error() {
    return results.get(0).response().getLeft();
  }

  @Test
  public void slowAttemptIsCancelledWhenHedgeCompletes() {
    entry.fakes().hedgeAfterMs(30);
    start(false, true);
    entry.time().schedule(50, () -> upstreams.workRequests().get(1).respond(200, "{\"output\":7}"));
    entry.time().schedule(60, () -> upstreams.workRequests().get(0).respond(200, "{\"output\":8}"));
    entry.time().runAll();
    assertEquals(results.size(), 1);
    assertEquals(results.get(0).response().get().output().asInt(), 7);
    assertEquals(results.get(0).cost().hedges(), 1);
    assertEquals(
        upstreams.cancelBodies().get(0),
        "{\"requestId\":\"vm-1-1\",\"stage\":\"s\",\"attempt\":1}");
  }

  @Test
  public void refusalIsReportedAsColdAndNotRetriedWithoutBudget() {
    entry.fakes().turnOff(EntryFakes.Condition.RETRIES);
    start(false, true);
    upstreams.workRequests().get(0).respond(503, "");
    assertTrue(error() instanceof RequestError.StageFailed, error().toString());
    assertEquals(entry.fakes().coldReports(), 1);
    assertEquals(upstreams.workRequests().size(), 1);
  }

  @Test
  public void nonIdempotentStageIsNotRetriedOnceSent() {
    entry.fakes().hedgeAfterMs(30);
    start(false, false);
    upstreams.workRequests().get(0).end(new CallFailure.NotConnected("refused"));
    upstreams
        .workRequests()
        .get(1)
        .end(new CallFailure.Broken(CallFailure.Broken.Sign.CONNECTION, "reset"));
    entry.time().runAll();
    assertEquals(upstreams.workRequests().size(), 2);
    assertTrue(error() instanceof RequestError.StageFailed);
    assertTrue(upstreams.workRequests().get(0).request().freshConnection());
  }

  @Test
  public void requestUnderWhichTwoUpstreamsBrokeOffIsNotSentToAThird() {
    HostPort third = new HostPort("10.0.0.3", 80);
    entry.fakes().announce(EntryFakes.upstream("e3", third, "engine", "dc-1"));
    start(false, true);
    for (int i = 0; i < 2; i++) {
      upstreams
          .workRequests()
          .get(i)
          .end(new CallFailure.Broken(CallFailure.Broken.Sign.CONNECTION, "reset"));
    }
    assertEquals(upstreams.workRequests().size(), 2);
    assertTrue(error() instanceof RequestError.StageFailed, error().toString());
  }

  @Test
  public void dataCentreTakenOutDuringConnectReceivesNothing() {
    start(false, true);
    entry.fakes().takeOut("dc-1");
    assertFalse(upstreams.workRequests().get(0).requestPermit());
    entry.time().schedule(5, () -> assertTrue(upstreams.workRequests().get(1).requestPermit()));
    entry.time().schedule(6, () -> upstreams.workRequests().get(1).respond(200, "{\"output\":1}"));
    entry.time().runAll();
    assertEquals(upstreams.workRequests().get(1).request().address().host(), "10.0.0.2");
    assertEquals(results.get(0).cost().attempts(), 1);
  }

  @Test
  public void restartedUpstreamReceivesNothingUnderItsWarmSlot() {
    start(false, true);
    Upstream warm = entry.fakes().find("e1").orElseThrow();
    entry.fakes().announce(EntryFakes.restarted(warm));
    assertFalse(upstreams.workRequests().get(0).requestPermit());
    entry.time().schedule(5, () -> assertTrue(upstreams.workRequests().get(1).requestPermit()));
    entry.time().schedule(6, () -> upstreams.workRequests().get(1).respond(200, "{\"output\":1}"));
    entry.time().runAll();
    assertTrue(results.get(0).response().isRight());
  }

  @Test
  public void streamWithGapIsResumedAtAnotherUpstream() {
    start(true, true);
    upstreams.workRequests().get(0).token(0);
    upstreams.workRequests().get(0).token(2);
    assertEquals(upstreams.cancelBodies().size(), 1);
    upstreams.workRequests().get(0).token(1);
    assertEquals(offsets, List.of(0));
    upstreams.workRequests().get(1).token(1);
    upstreams.workRequests().get(1).done(2);
    assertEquals(offsets, List.of(0, 1));
    assertEquals(results.get(0).response().get().output().asText(), "t0t1");
  }

  @Test
  public void stageWaitsForSlotWithinBudget() {
    entry.fakes().limitSlots(0);
    start(false, true);
    entry.time().schedule(100, () -> entry.fakes().limitSlots(1));
    entry
        .time()
        .schedule(200, () -> upstreams.workRequests().get(0).respond(200, "{\"output\":1}"));
    entry.time().runAll();
    assertTrue(results.get(0).response().isRight());
  }

  @Test
  public void stageWithoutSlotFailsWhenBudgetEnds() {
    entry.fakes().limitSlots(0);
    start(false, true);
    entry.time().runAll();
    assertTrue(error() instanceof RequestError.NoUpstream);
    assertFalse(results.get(0).mayHaveRun());
    assertTrue(results.get(0).cost().ms() >= 800 && results.get(0).cost().ms() < 900);
  }

  @Test
  public void deadlineEndsStalledStageAndCancelsItsWork() {
    start(true, true);
    upstreams.workRequests().get(0).token(0);
    entry.time().runAll();
    assertTrue(error() instanceof RequestError.DeadlineMissed);
    assertEquals(upstreams.cancelBodies().size(), 1);
  }
}
