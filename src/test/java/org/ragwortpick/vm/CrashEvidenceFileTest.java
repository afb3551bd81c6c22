package org.ragwortpick.vm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.consensus.storage.FileDisk;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against evidence that is lost or spoiled on its way over the disk. */
public final class CrashEvidenceFileTest {

  private static final String FILE_NAME = "crash-evidence.json";
  private static final long SAVED_WITHIN_MS = 10_000;
  private static final long DOWN_MS = 7_000;

  private final ManualClock timeOfDay = new ManualClock();
  private Path folder;

  @BeforeMethod
  public void createFolder() throws Exception {
    folder = Files.createTempDirectory("crash-evidence");
  }

  private static SyncedCrashEvidence emptyTable() {
    return new SyncedCrashEvidence("vm", new SoftTable(), () -> {});
  }

  private CrashEvidenceFile file(SyncedCrashEvidence table, Clock clock) throws Exception {
    return new CrashEvidenceFile(new FileDisk(folder), table, clock, timeOfDay);
  }

  private static CrashEvidence evidence(String content, int crashes, long atMs) {
    List<Crash> all =
        IntStream.range(0, crashes).mapToObj(i -> new Crash("u" + i, i, atMs, false)).toList();
    return new CrashEvidence("s", content, all);
  }

  private void awaitFile() throws Exception {
    for (long waitedMs = 0; !Files.exists(folder.resolve(FILE_NAME)); waitedMs += 20) {
      assertTrue(waitedMs < SAVED_WITHIN_MS, "the file was not written");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Test
  public void repeatedCrashesSurviveTheProcessWithTheirAge() throws Exception {
    ManualClock before = new ManualClock();
    before.advanceMs(50_000);
    SyncedCrashEvidence table = emptyTable();
    table.add(evidence("request:once", 1, before.millis()));
    table.add(evidence("request:bad", 3, before.millis() - 1_000));
    try (CrashEvidenceFile file = file(table, before)) {
      file.start();
      awaitFile();
    }
    timeOfDay.advanceMs(DOWN_MS);
    ManualClock after = new ManualClock();
    SyncedCrashEvidence restored = emptyTable();
    try (CrashEvidenceFile file = file(restored, after)) {
      file.start();
    }
    assertEquals(restored.all(), List.of(evidence("request:bad", 3, 0)));
    assertEquals(restored.all().get(0).lastCrashAtMs(), after.millis() - DOWN_MS - 1_000);
  }

  @Test
  public void unreadableFileIsIgnored() throws Exception {
    Files.writeString(folder.resolve(FILE_NAME), "[{\"service\":");
    SyncedCrashEvidence restored = emptyTable();
    try (CrashEvidenceFile file = file(restored, new ManualClock())) {
      file.start();
    }
    assertEquals(restored.all(), List.of());
  }
}
