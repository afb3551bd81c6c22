package org.ragwortpick.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.ragwortpick.consensus.raft.HardState;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.LogRecord;
import org.ragwortpick.consensus.raft.Membership;
import org.ragwortpick.consensus.raft.RaftSnapshot;
import org.ragwortpick.consensus.raft.RecoveredState;
import org.ragwortpick.consensus.storage.CorruptDataFolderException;
import org.ragwortpick.consensus.storage.LogStore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against confusing a torn write at the end of the log with damaged durable data. */
public final class LogStoreTest {

  private FakeDisk disk;
  private LogStore store;

  @BeforeMethod
  public void createStore() throws IOException {
    disk = new FakeDisk();
    store = LogStore.create(disk, RecoveredState.initial(Membership.EMPTY.withVoter("a/0")));
    store.write(List.of(new LogRecord.State(new HardState(1, "a/0"))));
    store.write(List.of(entry(1, 1), entry(2, 1)));
    store.write(List.of(entry(3, 1)));
  }

  private static LogRecord entry(long index, long term) {
    return new LogRecord.Entry(
        new LogEntry(index, term, LogEntry.Kind.COMMAND, ("command-" + index).getBytes()));
  }

  private List<Long> indexes() throws IOException {
    return LogStore.open(disk).takeRecovered().entries().stream().map(LogEntry::index).toList();
  }

  @Test
  public void tornLastRecordIsTruncated() throws IOException {
    disk.corrupt("log-", -1);
    assertEquals(indexes(), List.of(1L, 2L));
  }

  /** A crash may tear the write in progress, but must not lose synced records. */
  @Test
  public void crashDuringWriteKeepsWhatWasSynced() throws IOException {
    for (int seed = 0; seed < 200; seed++) {
      createStore();
      disk.failNextSync();
      expectThrows(IOException.class, () -> store.write(List.of(entry(4, 1), entry(5, 1))));
      disk.crash(new Random(seed));
      assertEquals(indexes().subList(0, 3), List.of(1L, 2L, 3L), "seed " + seed);
    }
  }

  @Test
  public void damageBeforeTheLastRecordIsAnError() throws IOException {
    int length = disk.read("log-1").length;
    for (int offset = 0; offset < length - 60; offset++) {
      createStore();
      disk.corrupt("log-", offset);
      CorruptDataFolderException error =
          expectThrows(CorruptDataFolderException.class, () -> LogStore.open(disk));
      assertTrue(error.getMessage().contains("start the VM with an empty one"), "remedy");
    }
  }

  @Test
  public void replacedEntriesStayReplaced() throws IOException {
    store.write(List.of(entry(2, 2)));
    assertEquals(indexes(), List.of(1L, 2L));
  }

  @Test
  public void checkpointReplacesTheFile() throws IOException {
    RaftSnapshot snapshot = new RaftSnapshot(2, 1, Membership.EMPTY, new byte[3_000_000]);
    LogEntry rest = new LogEntry(3, 1, LogEntry.Kind.COMMAND, new byte[1]);
    RecoveredState state = new RecoveredState(new HardState(4, "b/0"), snapshot, List.of(rest));
    store.write(List.of(entry(4, 1), new LogRecord.Checkpoint(state), entry(4, 2)));
    assertEquals(disk.list().size(), 1);
    RecoveredState recovered = LogStore.open(disk).takeRecovered();
    assertEquals(recovered.hardState(), new HardState(4, "b/0"));
    assertEquals(recovered.snapshot().data().length, 3_000_000);
    assertEquals(recovered.entries().stream().map(LogEntry::term).toList(), List.of(1L, 2L));
  }

  /** Records behind a torn one would be unreadable, or taken for damage, at the next start. */
  @Test
  public void onlyCheckpointFollowsRefusedWrite() throws IOException {
    disk.setFreeBytes(30);
    expectThrows(IOException.class, () -> store.write(List.of(entry(4, 1), entry(5, 1))));
    disk.clearFaults();
    expectThrows(IllegalStateException.class, () -> store.write(List.of(entry(6, 1))));
    LogEntry last = new LogEntry(1, 1, LogEntry.Kind.COMMAND, new byte[1]);
    RecoveredState state =
        new RecoveredState(
            new HardState(1, "a/0"), RaftSnapshot.initial(Membership.EMPTY), List.of(last));
    store.write(List.of(new LogRecord.Checkpoint(state), entry(2, 1)));
    store.write(List.of(entry(3, 1)));
    assertEquals(indexes(), List.of(1L, 2L, 3L));
  }

  /** The end of a file that could not be written must not reach the file after it. */
  @Test
  public void refusedCheckpointLeavesNothingBehind() throws IOException {
    RecoveredState state = LogStore.open(disk).takeRecovered();
    for (int freeBytes = 0; freeBytes < 200; freeBytes += 7) {
      createStore();
      disk.setFreeBytes(freeBytes);
      expectThrows(IOException.class, () -> store.write(List.of(new LogRecord.Checkpoint(state))));
      disk.clearFaults();
      assertEquals(indexes(), List.of(1L, 2L, 3L), "free bytes " + freeBytes);
      store.write(List.of(new LogRecord.Checkpoint(state), entry(4, 1)));
      assertEquals(indexes(), List.of(1L, 2L, 3L, 4L), "free bytes " + freeBytes);
    }
  }

  /** A disk that is full at the start must not make the log unreadable. */
  @Test
  public void fullDiskAtStartIsReported() throws IOException {
    disk.refuseChanges();
    LogStore opened = LogStore.open(disk);
    assertTrue(opened.openingError().isPresent());
    RecoveredState recovered = opened.takeRecovered();
    assertEquals(recovered.entries().size(), 3);
    disk.clearFaults();
    opened.write(List.of(new LogRecord.Checkpoint(recovered), entry(4, 1)));
    assertEquals(indexes(), List.of(1L, 2L, 3L, 4L));
  }
}
