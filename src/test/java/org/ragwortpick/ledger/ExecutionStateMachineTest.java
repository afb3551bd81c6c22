package org.ragwortpick.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.SweepOperation;
import org.testng.annotations.Test;

/** Guards against state that is lost by a restart from a snapshot. */
public final class ExecutionStateMachineTest {

  private static final long DAY_MS = ExecutionTable.RECORD_RETENTION_MS;

  private final ExecutionStateMachine machine = new ExecutionStateMachine();

  private void begin(String key, long timeMs) {
    BeginRequest request =
        new BeginRequest(
            new ExecutionKey("w1", key), "s", "d", "vm1", "a-" + key, 500, OptionalLong.empty());
    apply(LedgerCommand.newBuilder().setTimeMs(timeMs).setBegin(LedgerCodec.encode(request)));
  }

  private void finish(String key, ExecutionState state, long timeMs) {
    FinishRequest request =
        new FinishRequest(new ExecutionKey("w1", key), "a-" + key, state, 200, "answer");
    apply(LedgerCommand.newBuilder().setTimeMs(timeMs).setFinish(LedgerCodec.encode(request)));
  }

  private void apply(LedgerCommand.Builder command) {
    machine.apply(1, command.build().toByteArray());
  }

  private ExecutionState state(ExecutionStateMachine stateMachine, String key) {
    return stateMachine.status(new ExecutionKey("w1", key)).get().state();
  }

  @Test
  public void snapshotKeepsRecordsLeasesAndDigests() {
    begin("old", 1);
    apply(LedgerCommand.newBuilder().setTimeMs(600).setSweep(SweepOperation.getDefaultInstance()));
    begin("done", DAY_MS + 600);
    finish("done", ExecutionState.DONE, DAY_MS + 601);
    apply(
        LedgerCommand.newBuilder()
            .setTimeMs(DAY_MS + 602)
            .setSweep(SweepOperation.getDefaultInstance()));
    begin("lost", DAY_MS + 603);
    finish("lost", ExecutionState.UNKNOWN, DAY_MS + 604);
    begin("open", DAY_MS + 605);

    ExecutionStateMachine copy = new ExecutionStateMachine();
    copy.restore(machine.snapshot());

    assertEquals(copy.snapshot(), machine.snapshot());
    assertEquals(state(copy, "old"), ExecutionState.EXPIRED);
    assertEquals(state(copy, "done"), ExecutionState.DONE);
    assertTrue(copy.isSweepDue(DAY_MS + 605 + 500), "the lease of the open record was lost");
    finishOn(copy, "lost");
    assertEquals(state(copy, "lost"), ExecutionState.UNKNOWN);
  }

  private static void finishOn(ExecutionStateMachine copy, String key) {
    FinishRequest request =
        new FinishRequest(new ExecutionKey("w1", key), "a-" + key, ExecutionState.NOT_RUN, 0, "");
    copy.apply(
        2, LedgerCommand.newBuilder().setFinish(LedgerCodec.encode(request)).build().toByteArray());
  }
}
