package org.ragwortpick.consensus.raft;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against entries before the snapshot that fill the heap, or that are missing. */
public final class RaftLogTest {

  private static final int RETAINED_ENTRIES = 10;
  private static final long RETAINED_BYTES = 2_000;

  /** Size of the data of an entry, and number of entries that may be kept. */
  @DataProvider
  public static Object[][] sizes() {
    return new Object[][] {{10, 10L}, {900, 2L}, {5_000, 0L}};
  }

  @Test(dataProvider = "sizes")
  public void entriesBeforeSnapshotAreBoundedInNumberAndBytes(int dataBytes, long retained) {
    RaftLog log = new RaftLog(RecoveredState.initial(Membership.EMPTY.withVoter("a/0")));
    for (long index = 1; index <= 100; index++) {
      log.append(new LogEntry(index, 1, LogEntry.Kind.COMMAND, new byte[dataBytes]));
      if (index % 20 == 0) {
        log.compact(index, new byte[1], RETAINED_ENTRIES, RETAINED_BYTES);
        assertEquals(index - log.previousIndex(), retained, "index " + index);
        assertEquals(log.termAt(index), 1);
      }
    }
  }
}
