package org.ragwortpick.policy.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedUpstreamLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a limit that is lost, kept for good, or taken for that of another upstream. */
public final class NamedLimitsTest {

  private static final Upstream FIRST_START = TestUpstreams.upstream("u1", "s", 1);
  private static final Upstream SECOND_START = TestUpstreams.upstream("u1", "s", 2);

  private ManualClock clock;
  private SyncedUpstreamLimits table;
  private NamedLimits limits;
  private SenderRank rank;

  @BeforeMethod
  public void create() {
    clock = new ManualClock();
    table = new SyncedUpstreamLimits("vm", new SoftTable(), () -> {});
    rank = new SenderRank(0, 9);
    limits = new NamedLimits(table, new RequestRateShare(clock), upstream -> rank, clock);
  }

  private void record(Upstream upstream, double requestsPerSecond, long sentAtMs) {
    limits.record(upstream, requestsPerSecond, sentAtMs);
  }

  /** Takes permits for a time and returns their number. */
  private int permitsWithin(long durationMs) {
    int taken = 0;
    for (long endMs = clock.millis() + durationMs; clock.millis() < endMs; clock.advanceMs(10)) {
      taken += limits.tryTake(FIRST_START) ? 1 : 0;
    }
    return taken;
  }

  @Test
  public void limitIsKeptUntilAResponseNoLongerNamesIt() {
    assertTrue(permitsWithin(1_000) == 100, "no limit yet");
    record(FIRST_START, 1, clock.millis());
    clock.advanceMs(1);
    int taken = permitsWithin(10_000);
    assertTrue(taken > 5 && taken <= 10, taken + " permits in 10 s");
    record(FIRST_START, UpstreamLimit.NONE, clock.millis());
    assertEquals(permitsWithin(1_000), 100);
  }

  @Test
  public void responseToAnEarlierRequestDoesNotEndTheLimit() {
    long beforeMs = clock.millis();
    clock.advanceMs(5);
    record(FIRST_START, 1, beforeMs);
    record(FIRST_START, UpstreamLimit.NONE, beforeMs);
    record(FIRST_START, 50, beforeMs);
    assertTrue(limits.isLimited(FIRST_START));
    assertEquals(table.find("u1").orElseThrow().requestsPerSecond(), 1.0);
    record(FIRST_START, 0.5, beforeMs);
    assertEquals(table.find("u1").orElseThrow().requestsPerSecond(), 0.5);
  }

  @Test
  public void newsOfAnotherVmWinOverAnOlderNotice() {
    record(FIRST_START, 1, clock.millis());
    table.add(new UpstreamLimit("u1", 1, UpstreamLimit.NONE, 2));
    assertFalse(limits.isLimited(FIRST_START));
    table.add(new UpstreamLimit("u1", 1, 1, 1));
    assertFalse(limits.isLimited(FIRST_START));
    table.add(new UpstreamLimit("u1", 1, 4, 3));
    assertTrue(limits.isLimited(FIRST_START));
  }

  @Test
  public void limitOfOneStartDoesNotBindTheNext() {
    record(FIRST_START, 1, clock.millis());
    assertFalse(limits.isLimited(SECOND_START));
    record(SECOND_START, 2, clock.millis());
    record(FIRST_START, 1, clock.millis());
    assertEquals(table.find("u1").orElseThrow().requestsPerSecond(), 2.0);
  }

  @Test
  public void vmBehindTheSendersGetsNoPermit() {
    record(FIRST_START, 1.9, clock.millis());
    rank = new SenderRank(1, 9);
    assertFalse(limits.hasPart(FIRST_START));
    assertEquals(permitsWithin(10_000), 0);
    rank = new SenderRank(0, 9);
    assertTrue(limits.hasPart(FIRST_START));
  }

  @Test
  public void upstreamThatTakesNothingIsStillAskedNowAndThen() {
    record(FIRST_START, 0, clock.millis());
    int taken = permitsWithin(60_000);
    assertTrue(taken >= 2 && taken <= 7, taken + " permits in a minute");
  }

  @Test
  public void intervalIsThatOfAllLimitedUpstreamsTogether() {
    Upstream other = TestUpstreams.upstream("u2", "s", 1);
    record(FIRST_START, 1, clock.millis());
    assertEquals(limits.intervalMs(List.of(FIRST_START, other)), 0);
    record(other, 3, clock.millis());
    assertEquals(limits.intervalMs(List.of(FIRST_START, other)), 250);
    assertEquals(limits.intervalMs(List.of()), 0);
  }
}
