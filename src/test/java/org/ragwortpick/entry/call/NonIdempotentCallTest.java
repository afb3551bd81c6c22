package org.ragwortpick.entry.call;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.entry.EntryFakes;
import org.ragwortpick.entry.FakeLedger;
import org.ragwortpick.entry.ScriptedUpstreams;
import org.ragwortpick.entry.VirtualEntry;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.ledger.ExecutionKey;
import org.ragwortpick.ledger.ExecutionState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against dispatches after the lease and against responses that contradict the record. */
public final class NonIdempotentCallTest {

  private static final ExecutionKey KEY = new ExecutionKey("w1", "k1");

  private VirtualEntry entry;
  private ScriptedUpstreams upstreams;
  private FakeLedger ledger;
  private List<CallResult> results;

  @BeforeMethod
  public void prepare() {
    entry = new VirtualEntry();
    upstreams = new ScriptedUpstreams();
    ledger = new FakeLedger(entry.time().clock());
    results = new ArrayList<>();
    HostPort address = new HostPort("10.0.0.1", 80);
    entry.fakes().announce(EntryFakes.upstream("b1", address, "booking", "dc-1"));
  }

  @AfterMethod
  public void allSlotsAreReleased() {
    entry.time().runAll();
    assertEquals(entry.fakes().slotsInUse(), 0);
  }

  private void start(String body) {
    CallRequest call = new CallRequest(KEY, "booking", body.getBytes(), body, OptionalLong.empty());
    new NonIdempotentCall(
            call, entry.request(1_000), entry.dependencies(upstreams), ledger, "vm", results::add)
        .start();
  }

  private void afterMs(long delayMs, Runnable action) {
    entry.time().schedule(delayMs, action);
    entry.time().runAll();
  }

  @Test
  public void attemptSuspendedPastDeadlineIsNotSent() {
    start("a");
    afterMs(5_000, () -> assertFalse(upstreams.workRequests().get(0).requestPermit()));
    assertEquals(ledger.state(KEY), ExecutionState.NOT_RUN);
    assertEquals(results.get(0).execution(), ExecutionOutcome.UNKNOWN, "reported at the deadline");
  }

  /** Guards against a key that stays unusable after the caller got "not run". */
  @Test
  public void resendAfterNotRunIsDispatched() {
    start("a");
    upstreams.workRequests().get(0).end(new CallFailure.NotConnected("refused"));
    entry.time().runAll();
    assertEquals(results.get(0).execution(), ExecutionOutcome.NOT_RUN);
    entry.time().schedule(1_000, () -> start("a"));
    entry.time().schedule(1_100, () -> assertTrue(upstreams.workRequests().get(1).requestPermit()));
    entry.time().schedule(1_200, () -> upstreams.workRequests().get(1).respond(201, "booked"));
    entry.time().runAll();
    assertEquals(results.get(1).response().get(), new RecordedResponse(201, "booked"));
    assertEquals(ledger.state(KEY), ExecutionState.DONE);
  }

  @Test
  public void duplicateWaitsForOutcome() {
    start("a");
    start("a");
    assertEquals(upstreams.workRequests().size(), 1);
    assertTrue(upstreams.workRequests().get(0).requestPermit());
    entry.time().schedule(200, () -> upstreams.workRequests().get(0).respond(201, "booked"));
    entry.time().runAll();
    assertEquals(results.size(), 2);
    for (CallResult result : results) {
      assertEquals(result.response().get(), new RecordedResponse(201, "booked"));
    }
  }

  @Test
  public void duplicateGetsUnknownAtDeadline() {
    start("a");
    assertTrue(upstreams.workRequests().get(0).requestPermit());
    start("a");
    entry.time().runAll();
    assertEquals(results.get(1).execution(), ExecutionOutcome.UNKNOWN);
    upstreams.workRequests().get(0).respond(201, "booked");
    assertEquals(ledger.state(KEY), ExecutionState.DONE, "a late response is still recorded");
  }

  @Test
  public void keyReusedForAnotherBodyIsRefused() {
    start("a");
    start("b");
    assertTrue(results.get(0).response().getLeft() instanceof RequestError.IdempotencyKeyReused);
    upstreams.workRequests().get(0).end(new CallFailure.NotConnected("refused"));
    assertEquals(results.get(1).execution(), ExecutionOutcome.NOT_RUN);
  }

  @Test
  public void beginWithLostReplyIsRetriedWithSameAttemptId() {
    ledger.loseBeginReplies(3);
    start("a");
    afterMs(300, () -> assertTrue(upstreams.workRequests().get(0).requestPermit()));
    upstreams.workRequests().get(0).respond(200, "ok");
    assertEquals(ledger.state(KEY), ExecutionState.DONE);
    assertEquals(upstreams.workRequests().size(), 1);
  }

  @Test
  public void notRunIsReportedOnlyAfterCommit() {
    entry.fakes().turnOff(EntryFakes.Condition.ADMITS);
    ledger.setReachable(false);
    start("a");
    entry.time().schedule(400, () -> ledger.setReachable(true));
    assertTrue(results.isEmpty());
    entry.time().runAll();
    assertEquals(results.get(0).execution(), ExecutionOutcome.NOT_RUN);
    assertEquals(ledger.state(KEY), ExecutionState.NOT_RUN);
  }

  @Test
  public void refusedDuplicateOfFinishedCallGetsRecordedResponse() {
    start("a");
    assertTrue(upstreams.workRequests().get(0).requestPermit());
    upstreams.workRequests().get(0).respond(200, "ok");
    entry.fakes().turnOff(EntryFakes.Condition.ADMITS);
    start("a");
    entry.time().runAll();
    assertEquals(results.get(1).response().get(), new RecordedResponse(200, "ok"));
  }

  @Test
  public void responseIsDeliveredEvenIfNotRecorded() {
    start("a");
    assertTrue(upstreams.workRequests().get(0).requestPermit());
    ledger.setReachable(false);
    upstreams.workRequests().get(0).respond(200, "ok");
    entry.time().runAll();
    assertEquals(results.get(0).execution(), ExecutionOutcome.DONE);
  }
}
