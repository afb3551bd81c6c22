package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Guards against grants that run a call twice and outcomes that contradict a response. */
public final class ExecutionTableTest {

  private static final ExecutionKey KEY = new ExecutionKey("w1", "k1");
  private static final long LEASE_MS = 1_000;

  private final ExecutionTable table = new ExecutionTable();

  private static BeginRequest begin(String attempt) {
    return new BeginRequest(KEY, "raspored", "d1", "vm1", attempt, LEASE_MS, OptionalLong.empty());
  }

  private static FinishRequest finish(String attempt, ExecutionState state) {
    return new FinishRequest(KEY, attempt, state, 200, "answer");
  }

  private static ExecutionTable tableAt(long timeMs) {
    ExecutionTable table = new ExecutionTable();
    table.advanceTo(timeMs);
    return table;
  }

  @Test
  public void grantsOneAttemptAndRepeatsItsDecision() {
    ExecutionTable table = tableAt(10);
    assertTrue(table.begin(begin("a")).get().granted());
    assertTrue(table.begin(begin("a")).get().granted());
    assertFalse(table.begin(begin("b")).get().granted());
  }

  @Test
  public void expiredLeaseMakesUnknownThatOnlyOwnAttemptChanges() {
    ExecutionTable table = tableAt(10);
    table.begin(begin("a"));
    table.advanceTo(10 + LEASE_MS);
    assertEquals(table.sweep(), 1);
    assertEquals(table.status(KEY).get().state(), ExecutionState.UNKNOWN);
    assertTrue(table.finish(finish("b", ExecutionState.NOT_RUN)).isLeft());
    assertFalse(table.begin(begin("b").after("a")).get().granted());
    assertFalse(table.begin(begin("a")).get().granted());
    assertEquals(table.finish(finish("a", ExecutionState.DONE)).get().state(), ExecutionState.DONE);
    assertEquals(
        table.finish(finish("a", ExecutionState.NOT_RUN)).get().state(), ExecutionState.DONE);
  }

  @Test
  public void holderThatMayHaveDispatchedCannotStateNotRun() {
    ExecutionTable table = tableAt(10);
    table.begin(begin("a"));
    table.finish(finish("a", ExecutionState.UNKNOWN));
    assertEquals(
        table.finish(finish("a", ExecutionState.NOT_RUN)).get().state(), ExecutionState.UNKNOWN);
  }

  @Test
  public void abandonBeforeBeginRefusesLaterBegin() {
    ExecutionTable table = tableAt(10);
    table.finish(finish("a", ExecutionState.NOT_RUN));
    assertFalse(table.begin(begin("a")).get().granted());
    assertFalse(table.begin(begin("b")).get().granted());
    assertTrue(table.begin(begin("b").after("a")).get().granted());
    table.finish(finish("b", ExecutionState.NOT_RUN));
    assertFalse(table.begin(begin("a")).get().granted());
    // The abandon of c arrives before its begin, which names b.
    table.finish(finish("c", ExecutionState.NOT_RUN));
    assertFalse(table.begin(begin("c").after("b")).get().granted());
  }

  @Test
  public void refusesReusedAndExpiredKeys() {
    ExecutionTable table = tableAt(2 * ExecutionTable.RECORD_RETENTION_MS);
    BeginRequest expiredKey =
        new BeginRequest(
            KEY,
            "raspored",
            "d1",
            "vm1",
            "a",
            LEASE_MS,
            OptionalLong.of(ExecutionTable.RECORD_RETENTION_MS));
    assertEquals(table.begin(expiredKey).getLeft(), new LedgerError.KeyExpired());
    table.begin(begin("a"));
    BeginRequest otherBody =
        new BeginRequest(KEY, "raspored", "d2", "vm1", "b", LEASE_MS, OptionalLong.empty());
    assertEquals(table.begin(otherBody).getLeft(), new LedgerError.KeyReused());
  }

  @Test
  public void keepsDigestOfDroppedRecordWithoutSweep() {
    ExecutionTable table = tableAt(10);
    table.begin(begin("a"));
    table.finish(finish("a", ExecutionState.DONE));
    table.advanceTo(10 + ExecutionTable.RECORD_RETENTION_MS);
    assertEquals(table.begin(begin("b")).getLeft(), new LedgerError.KeyExpired());
    assertEquals(table.status(KEY).get().state(), ExecutionState.EXPIRED);
    table.advanceTo(10 + ExecutionTable.RECORD_RETENTION_MS + DroppedKeys.RETENTION_MS);
    table.sweep();
    assertEquals(table.begin(begin("b")).getLeft(), new LedgerError.KeyExpired());
    table.advanceTo(2 * ExecutionTable.RECORD_RETENTION_MS + DroppedKeys.RETENTION_MS);
    assertEquals(table.sweep(), 1);
    assertTrue(table.begin(begin("b")).get().granted());
  }

  @Test
  public void timeNeverDecreases() {
    table.advanceTo(100);
    table.advanceTo(50);
    assertEquals(table.timeMs(), 100);
  }
}
