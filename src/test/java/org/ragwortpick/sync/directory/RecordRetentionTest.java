package org.ragwortpick.sync.directory;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.testng.annotations.Test;

/** Guards against control VMs whose evidence grows with each connection that breaks. */
public final class RecordRetentionTest {

  private static final int MAX_SINGLE_CRASH_RECORDS = 2_048;

  private final ManualClock clock = new ManualClock();
  private final SoftTable table = new SoftTable();
  private final RecordRetention retention =
      new RecordRetention(clock, table, new SyncedVmDirectory(table));

  private void add(String content, int crashes) {
    List<Crash> all =
        IntStream.range(0, crashes)
            .mapToObj(i -> new Crash("u" + i, i, clock.millis(), false))
            .toList();
    table.mergeFromPoller(
        new SoftRecord.OfCrashEvidence(new CrashEvidence("s", content, all)), "vm");
  }

  @Test
  public void oldestContentsOfOneCrashMakeRoomForNewOnes() {
    add("twice", 2);
    for (int i = 0; i < 10_000; i++) {
      add("c" + i, 1);
      clock.advanceMs(10);
    }
    retention.tick();
    assertTrue(table.all().size() <= MAX_SINGLE_CRASH_RECORDS + 1, table.all().size() + " records");
    assertTrue(isKept("twice"), "a content of two crashes");
    assertTrue(isKept("c9999"), "the newest content of one crash");
    assertEquals(isKept("c0"), false, "the oldest content of one crash");
  }

  private boolean isKept(String content) {
    return table.find(SoftRecord.OfCrashEvidence.keyOf("s", content)).isPresent();
  }
}
