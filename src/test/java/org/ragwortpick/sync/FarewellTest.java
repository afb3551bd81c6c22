package org.ragwortpick.sync;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.UpstreamHome;
import org.testng.annotations.Test;

/**
 * Guards against an upstream that gets work after its leave notice. The notice has no sequence
 * number, and the table keeps an older sequence than the home has received as long as nothing else
 * in the announcements changes.
 */
public final class FarewellTest {

  private final ManualClock clock = new ManualClock();
  private final SoftTable table = new SoftTable();
  private final UpstreamHome home = new UpstreamHome("vm-1", 1, clock, table);

  private static Upstream announcement(long incarnation, long sequence) {
    return TestUpstreams.upstream("u1", incarnation, sequence, UpstreamState.READY, 0);
  }

  private UpstreamState state() {
    return ((SoftRecord.OfUpstream) table.find(SoftRecord.OfUpstream.keyOf("u1")).orElseThrow())
        .upstream()
        .state();
  }

  @Test
  public void leaveNoticeMarksCurrentIncarnationAsLeaving() {
    for (int sequence = 1; sequence <= 5; sequence++) {
      home.announce(announcement(7, sequence));
    }
    assertTrue(home.leave("u1"));
    assertEquals(state(), UpstreamState.LEAVING);
    home.announce(announcement(7, 6));
    assertEquals(state(), UpstreamState.LEAVING);
    home.announce(announcement(8, 1));
    assertEquals(state(), UpstreamState.READY);
  }

  @Test
  public void leaveNoticeAppliesToRecordThatArrivesLater() {
    SoftTable empty = new SoftTable();
    UpstreamHome homeWithoutRecord = new UpstreamHome("vm-2", 1, clock, empty);
    assertFalse(homeWithoutRecord.leave("u1"));
    empty.mergeFromSource(new SoftRecord.OfUpstream(announcement(7, 3), "vm-1", 1, false));
    homeWithoutRecord.tick();
    SoftRecord.OfUpstream record =
        (SoftRecord.OfUpstream) empty.find(SoftRecord.OfUpstream.keyOf("u1")).orElseThrow();
    assertTrue(record.left());
    assertEquals(record.upstream().state(), UpstreamState.LEAVING);
  }
}
