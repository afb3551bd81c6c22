package org.ragwortpick.sync;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.UpstreamHome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an upstream that gets work after its leave notice. The notice has no sequence
 * number, and the table keeps an older sequence than the home has received as long as nothing else
 * in the announcements changes.
 */
public final class FarewellTest {

  private final ManualClock clock = new ManualClock();
  private SoftTable table;
  private UpstreamHome home;

  @BeforeMethod
  public void createHome() {
    table = new SoftTable();
    home = new UpstreamHome("vm-1", 1, clock, table);
  }

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
    assertTrue(home.leave("u1", OptionalLong.empty()));
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
    assertFalse(homeWithoutRecord.leave("u1", OptionalLong.empty()));
    empty.mergeFromSource(new SoftRecord.OfUpstream(announcement(7, 3), "vm-1", 1, false));
    homeWithoutRecord.tick();
    SoftRecord.OfUpstream record =
        (SoftRecord.OfUpstream) empty.find(SoftRecord.OfUpstream.keyOf("u1")).orElseThrow();
    assertTrue(record.left());
    assertEquals(record.upstream().state(), UpstreamState.LEAVING);
  }

  /** Guards against a notice that lay in a suspended process and takes out a later start. */
  @Test
  public void lateLeaveNoticeOfEarlierIncarnationChangesNothing() {
    home.announce(announcement(7, 5));
    home.announce(announcement(8, 1));
    assertFalse(home.leave("u1", OptionalLong.of(7)));
    home.tick();
    home.announce(announcement(8, 2));
    assertEquals(state(), UpstreamState.READY);
    assertTrue(home.leave("u1", OptionalLong.of(8)));
    assertEquals(state(), UpstreamState.LEAVING);
  }

  /** Guards against a leave notice that overtakes the record of its incarnation and is lost. */
  @Test
  public void leaveNoticeAppliesToItsIncarnationOnceItsRecordArrives() {
    home.announce(announcement(7, 5));
    assertFalse(home.leave("u1", OptionalLong.of(8)));
    assertEquals(state(), UpstreamState.READY);
    table.mergeFromSource(new SoftRecord.OfUpstream(announcement(8, 1), "vm-2", 1, false));
    home.tick();
    assertEquals(state(), UpstreamState.LEAVING);
  }

  /** Guards against late announcements of an earlier incarnation that bring it back. */
  @Test
  public void lateAnnouncementOfEarlierIncarnationChangesNothing() {
    home.announce(announcement(7, 5));
    home.announce(announcement(8, 1));
    home.announce(announcement(7, 6));
    home.announce(TestUpstreams.upstream("u1", 7, 7, UpstreamState.LEAVING, 0));
    SoftRecord.OfUpstream record =
        (SoftRecord.OfUpstream) table.find(SoftRecord.OfUpstream.keyOf("u1")).orElseThrow();
    assertEquals(record.upstream().incarnation(), 8);
    assertEquals(record.upstream().state(), UpstreamState.READY);
  }

  /** Guards against a late notice of an earlier incarnation that replaces a pending one. */
  @Test
  public void lateLeaveNoticeDoesNotReplaceOneOfLaterIncarnation() {
    home.leave("u1", OptionalLong.of(8));
    home.leave("u1", OptionalLong.of(7));
    table.mergeFromSource(new SoftRecord.OfUpstream(announcement(8, 1), "vm-2", 1, false));
    home.tick();
    assertEquals(state(), UpstreamState.LEAVING);
  }
}
