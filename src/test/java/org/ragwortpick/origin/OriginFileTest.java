package org.ragwortpick.origin;

import static org.ragwortpick.origin.OriginTableTest.key;
import static org.ragwortpick.origin.OriginTableTest.origin;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.consensus.FakeDisk;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against records that are lost or changed on their way over the disk. */
public final class OriginFileTest {

  private static final long LIFETIME_MS = 60_000;
  private static final int TABLE_RECORDS = 200_000;
  private static final OriginAnswer UNKNOWN = new OriginAnswer.Unknown();

  private FakeDisk disk;
  private ManualClock timeOfDay;

  @BeforeMethod
  public void createDisk() {
    disk = new FakeDisk();
    timeOfDay = new ManualClock();
  }

  /** Process with its own monotonic clock on the disk that outlives it. */
  private final class Process {

    private final ManualClock clock = new ManualClock();
    private final OriginTable table = new OriginTable(TABLE_RECORDS, clock);
    private final OriginFile file = new OriginFile(disk, table::all, clock, timeOfDay);

    Process() {
      file.load(table::add);
    }

    void add(OriginRecord... records) {
      List<OriginRecord> added = List.of(records);
      added.forEach(table::add);
      file.queue(added);
    }

    OriginAnswer find(String id) {
      return table.find(key(id));
    }
  }

  private static OriginAnswer known(String version) {
    return new OriginAnswer.Known(version);
  }

  private List<String> generations() {
    return disk.list().stream().filter(name -> name.startsWith(OriginFile.PREFIX)).toList();
  }

  @Test
  public void recordsSurviveTheProcess() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS), origin("r2", "5", LIFETIME_MS));
    before.file.writeQueued();
    before.add(origin("r3", "", LIFETIME_MS));
    before.file.writeQueued();
    Process after = new Process();
    assertEquals(after.find("r1"), known("4"));
    assertEquals(after.find("r2"), known("5"));
    assertEquals(after.find("r3"), known(""));
    assertEquals(after.find("r4"), UNKNOWN);
  }

  @Test
  public void syncedRecordsSurviveALossOfPower() {
    for (int seed = 0; seed < 200; seed++) {
      createDisk();
      Random random = new Random(seed);
      Process process = new Process();
      int synced = 1 + random.nextInt(5);
      for (int i = 0; i < synced; i++) {
        process.add(origin("r" + i, "v" + i, LIFETIME_MS));
        process.file.writeQueued();
      }
      process.add(origin("unsynced", "9", LIFETIME_MS));
      disk.failNextSync();
      process.file.writeQueued();
      disk.crash(random);
      Process after = new Process();
      for (int i = 0; i < synced; i++) {
        assertEquals(after.find("r" + i), known("v" + i), "seed " + seed);
      }
      OriginAnswer unsynced = after.find("unsynced");
      assertTrue(unsynced.equals(UNKNOWN) || unsynced.equals(known("9")), "seed " + seed);
    }
  }

  @Test
  public void recordsSurviveRestartsInQuickSuccession() {
    new Process().add(origin("unwritten", "4", LIFETIME_MS));
    Process first = new Process();
    first.add(origin("r0", "4", LIFETIME_MS));
    first.file.writeQueued();
    for (int i = 1; i < 10; i++) {
      Process next = new Process();
      next.add(origin("r" + i, "4", LIFETIME_MS));
      next.file.writeQueued();
      assertEquals(generations().size(), 1);
    }
    Process last = new Process();
    for (int i = 0; i < 10; i++) {
      assertEquals(last.find("r" + i), known("4"), "r" + i);
    }
  }

  @Test
  public void tornOrCorruptTailIsIgnored() throws IOException {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    before.add(origin("r2", "4", LIFETIME_MS));
    before.file.writeQueued();
    disk.corrupt(OriginFile.PREFIX, -1);
    Process after = new Process();
    assertEquals(after.find("r1"), known("4"));
    assertEquals(after.find("r2"), UNKNOWN);
    after.add(origin("r3", "4", LIFETIME_MS));
    after.file.writeQueued();
    assertEquals(new Process().find("r3"), known("4"));
  }

  @Test
  public void corruptByteNeverYieldsAnotherRecord() throws IOException {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    int length = disk.read(generations().get(0)).length;
    for (int offset = 0; offset < length; offset++) {
      disk.corrupt(OriginFile.PREFIX, offset);
      List<OriginRecord> read = new ArrayList<>();
      new OriginFile(disk, List::of, timeOfDay, timeOfDay).load(read::add);
      assertEquals(read, List.of(), "byte " + offset);
      disk.corrupt(OriginFile.PREFIX, offset);
    }
    assertEquals(new Process().find("r1"), known("4"));
  }

  @Test
  public void recordsAreWrittenLaterAfterTheDiskWasFull() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    disk.setFreeBytes(10);
    before.add(origin("r2", "4", LIFETIME_MS));
    before.file.writeQueued();
    assertEquals(before.find("r2"), known("4"));
    before.add(origin("r3", "4", LIFETIME_MS));
    before.clock.advanceMs(OriginFile.RETRY_DELAY_MS);
    before.file.writeQueued();
    assertEquals(new Process().find("r1"), known("4"), "what was written stays");
    disk.clearFaults();
    before.clock.advanceMs(OriginFile.RETRY_DELAY_MS);
    before.file.writeQueued();
    Process after = new Process();
    for (String id : List.of("r1", "r2", "r3")) {
      assertEquals(after.find(id), known("4"), id);
    }
    assertEquals(disk.list(), generations(), "unfinished files are left");
  }

  @Test
  public void diskThatRefusesEverythingLeavesRecordsInMemory() {
    disk.refuseChanges();
    Process process = new Process();
    process.add(origin("r1", "4", LIFETIME_MS));
    process.file.writeQueued();
    assertEquals(process.find("r1"), known("4"));
  }

  @Test
  public void failedSyncIsNotTakenForADurableOne() {
    Process process = new Process();
    process.add(origin("r1", "4", LIFETIME_MS));
    process.file.writeQueued();
    process.add(origin("r2", "4", LIFETIME_MS));
    disk.failNextSync();
    process.file.writeQueued();
    process.clock.advanceMs(OriginFile.RETRY_DELAY_MS);
    process.file.writeQueued();
    disk.crash(new Random(1));
    Process after = new Process();
    assertEquals(after.find("r1"), known("4"));
    assertEquals(after.find("r2"), known("4"));
  }

  @Test
  public void recordsBeyondTheQueueAreWrittenFromTheTable() {
    Process before = new Process();
    int count = OriginFile.MAX_QUEUED + 10;
    IntStream.range(0, count).forEach(i -> before.add(origin("r" + i, "4", LIFETIME_MS)));
    before.file.writeQueued();
    Process after = new Process();
    assertEquals(after.table.size(), count);
  }

  @Test
  public void sizeOnTheDiskStaysBounded() throws IOException {
    Process process = new Process();
    OriginRecord[] batch =
        IntStream.range(0, 10_000)
            .mapToObj(i -> origin("r" + i, "4", LIFETIME_MS))
            .toArray(OriginRecord[]::new);
    long batchBytes = 0;
    for (int i = 0; i < 200; i++) {
      process.add(batch);
      process.file.writeQueued();
      long bytes = 0;
      for (String name : disk.list()) {
        bytes += disk.read(name).length;
      }
      batchBytes = batchBytes == 0 ? bytes : batchBytes;
      long limit = 2 * (OriginFile.MAX_GENERATION_BYTES + batchBytes);
      assertTrue(bytes <= limit, bytes + " bytes on the disk");
    }
    assertEquals(generations().size(), 2);
    assertEquals(new Process().table.size(), batch.length);
  }

  @Test
  public void nothingIsWrittenWithoutNewRecords() {
    Process process = new Process();
    process.file.writeQueued();
    assertEquals(disk.list(), List.of());
    process.add(origin("r1", "4", LIFETIME_MS));
    process.file.writeQueued();
    disk.refuseChanges();
    process.file.writeQueued();
    disk.clearFaults();
    process.add(origin("r2", "4", LIFETIME_MS));
    process.file.writeQueued();
    assertEquals(new Process().find("r2"), known("4"), "an empty round has used the disk");
  }

  @Test
  public void backwardStepOfTheTimeOfDayKeepsTheLifetime() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    timeOfDay.advanceMs(-30_000);
    Process after = new Process();
    after.clock.advanceMs(LIFETIME_MS);
    assertEquals(after.find("r1"), known("4"));
    after.clock.advanceMs(OriginFile.EXPIRY_MARGIN_MS);
    assertEquals(after.find("r1"), UNKNOWN);
  }

  @Test
  public void forwardStepOfSecondsDoesNotExpireRecords() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    timeOfDay.advanceMs(30_000);
    Process after = new Process();
    after.clock.advanceMs(LIFETIME_MS);
    assertEquals(after.find("r1"), known("4"));
  }

  @Test
  public void recordsExpireWhileTheProcessIsDown() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    timeOfDay.advanceMs(LIFETIME_MS + OriginFile.EXPIRY_MARGIN_MS);
    assertEquals(new Process().find("r1"), UNKNOWN);
  }

  @Test
  public void contradictionSurvivesTheProcess() {
    Process before = new Process();
    before.add(origin("r1", "4", LIFETIME_MS));
    before.file.writeQueued();
    before.add(origin("r1", "5", LIFETIME_MS));
    before.file.writeQueued();
    Process after = new Process();
    assertEquals(after.find("r1"), new OriginAnswer.Contradictory());
    after.add(origin("r2", "5", LIFETIME_MS));
    after.file.writeQueued();
    assertEquals(new Process().find("r1"), new OriginAnswer.Contradictory());
  }
}
