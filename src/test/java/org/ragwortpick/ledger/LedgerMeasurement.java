package org.ragwortpick.ledger;

import java.time.Clock;
import java.util.Locale;
import java.util.OptionalLong;
import org.ragwortpick.common.MonotonicClock;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.SweepOperation;

/** Measures the size of the execution records and the time to apply, encode and restore them. */
public final class LedgerMeasurement {

  private static final int[] RECORDS = {1_000, 10_000, 100_000};
  private static final int COMMANDS_PER_MEASUREMENT = 200_000;
  private static final String DIGEST = "0123456789abcdef".repeat(4);
  private static final String RESPONSE_BODY = "x".repeat(200);
  private static final Clock CLOCK = new MonotonicClock();

  private LedgerMeasurement() {}

  public static void main(String[] arguments) {
    fill(RECORDS[RECORDS.length - 1]);
    System.out.println(
        "records snapshot_bytes/record heap_bytes/record apply_us snapshot_ms restore_ms");
    for (int records : RECORDS) {
      measure(records);
      measureDropped(records);
    }
  }

  private static void measure(int records) {
    long heapBefore = usedHeapBytes();
    ExecutionStateMachine machine = fill(records);
    long heapBytes = usedHeapBytes() - heapBefore;
    long startMs = CLOCK.millis();
    for (int i = 0; i < COMMANDS_PER_MEASUREMENT / 2; i++) {
      begin(machine, records + i);
      finish(machine, records + i);
    }
    double applyUs = (CLOCK.millis() - startMs) * 1_000.0 / COMMANDS_PER_MEASUREMENT;
    ExecutionStateMachine unchanged = fill(records);
    startMs = CLOCK.millis();
    byte[] snapshot = unchanged.snapshot();
    long snapshotMs = CLOCK.millis() - startMs;
    startMs = CLOCK.millis();
    new ExecutionStateMachine().restore(snapshot);
    long restoreMs = CLOCK.millis() - startMs;
    System.out.printf(
        Locale.ROOT,
        "%d %d %d %.1f %d %d%n",
        records,
        snapshot.length / records,
        heapBytes / records,
        applyUs,
        snapshotMs,
        restoreMs);
  }

  private static void measureDropped(int records) {
    long heapBefore = usedHeapBytes();
    ExecutionStateMachine machine = fill(records);
    for (int i = 0; i <= records / ExecutionTable.MAX_CHANGES_PER_SWEEP; i++) {
      apply(
          machine,
          (int) ExecutionTable.RECORD_RETENTION_MS + records,
          LedgerCommand.newBuilder().setSweep(SweepOperation.getDefaultInstance()));
    }
    long heapBytes = usedHeapBytes() - heapBefore;
    System.out.printf(
        Locale.ROOT,
        "%d records, %d dropped: snapshot_bytes/key %d heap_bytes/key %d%n",
        machine.size(),
        records,
        machine.snapshot().length / records,
        heapBytes / records);
  }

  private static ExecutionStateMachine fill(int records) {
    ExecutionStateMachine machine = new ExecutionStateMachine();
    for (int i = 0; i < records; i++) {
      begin(machine, i);
      finish(machine, i);
    }
    return machine;
  }

  private static ExecutionKey key(int number) {
    return new ExecutionKey(
        "workspace-" + number % 5,
        String.format(Locale.ROOT, "%08x-0000-4000-8000-%012x", number, number));
  }

  private static void begin(ExecutionStateMachine machine, int number) {
    BeginRequest request =
        new BeginRequest(
            key(number),
            "raspored",
            DIGEST,
            "entry-1",
            "entry-1/77/" + number,
            5_000,
            OptionalLong.empty());
    apply(machine, number, LedgerCommand.newBuilder().setBegin(LedgerCodec.encode(request)));
  }

  private static void finish(ExecutionStateMachine machine, int number) {
    FinishRequest request =
        new FinishRequest(
            key(number), "entry-1/77/" + number, ExecutionState.DONE, 200, RESPONSE_BODY);
    apply(machine, number, LedgerCommand.newBuilder().setFinish(LedgerCodec.encode(request)));
  }

  private static void apply(
      ExecutionStateMachine machine, int number, LedgerCommand.Builder command) {
    machine.apply(
        number,
        command
            .setTimeMs(1_000_000L + number)
            .setClockId(1)
            .setMonotonicMs(1_000_000L + number)
            .build()
            .toByteArray());
  }

  private static long usedHeapBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
