package org.ragwortpick.sync.directory;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.Crash;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.TestUpstreams;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against upstreams that go on and count as ended, and against the reverse. */
public final class SurvivedCrashesTest {

  private static final long HEARTBEAT_MS = 1_200;
  private static final long INCARNATION = 3;

  private ManualClock clock;
  private SyncedCrashEvidence table;
  private SurvivedCrashes survived;

  @BeforeMethod
  public void recordCrash() {
    clock = new ManualClock();
    table = new SyncedCrashEvidence("vm", new SoftTable(), () -> {});
    survived = new SurvivedCrashes(table, clock);
    for (String content : List.of("request:a", "part")) {
      Crash crash = new Crash("u1", INCARNATION, clock.millis(), false);
      table.add(new CrashEvidence("s", content, List.of(crash)));
    }
  }

  private void announce(String id, long incarnation) {
    clock.advanceMs(HEARTBEAT_MS);
    survived.onAnnounced(TestUpstreams.upstream(id, "s", incarnation));
  }

  private long uncleared() {
    return table.all().stream().mapToInt(evidence -> evidence.uncleared().size()).sum();
  }

  @Test
  public void upstreamThatAnnouncesItselfTwiceDidNotEnd() {
    announce("u1", INCARNATION);
    announce("u1", INCARNATION);
    assertEquals(uncleared(), 2, "one of them came so soon that it may have been delayed");
    announce("u1", INCARNATION);
    assertEquals(uncleared(), 0);
  }

  @Test
  public void oneDelayedAnnouncementShowsNothing() {
    clock.advanceMs(2 * HEARTBEAT_MS);
    announce("u1", INCARNATION);
    assertEquals(uncleared(), 2);
  }

  @Test
  public void laterStartAndOtherUpstreamsShowNothing() {
    for (int i = 0; i < 5; i++) {
      announce("u1", INCARNATION + 1);
      announce("u2", INCARNATION);
    }
    assertEquals(uncleared(), 2);
  }
}
