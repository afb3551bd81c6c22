package org.ragwortpick.policy.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.TestUpstreams;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedCrashEvidence;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against parts that are held back or released wrongly, and against unbounded evidence. */
public final class ContentQuarantineTest {

  private static final String SERVICE = "s1";
  private static final int MAX_RECORDS = 520;
  private static final int MAX_REQUEST_RECORDS = 2_060;

  private ManualClock clock;
  private SyncedCrashEvidence table;
  private ContentQuarantine quarantine;
  private long incarnation;

  @BeforeMethod
  public void create() {
    clock = new ManualClock();
    table = new SyncedCrashEvidence("vm", new SoftTable(), () -> {});
    quarantine = new ContentQuarantine(table, "vm", () -> List.of("vm"), clock);
    incarnation = 0;
  }

  private Upstream nextUpstream() {
    incarnation++;
    return TestUpstreams.upstream("u" + incarnation, SERVICE, incarnation);
  }

  private void crash(String... parts) {
    quarantine.recordCrash(nextUpstream(), RequestContent.ofParts(List.of(parts)));
    clock.advanceMs(1_000);
  }

  private void sound(String... parts) {
    quarantine.recordSound(nextUpstream(), RequestContent.ofParts(List.of(parts)), clock.millis());
  }

  private boolean isHeld(String... parts) {
    return quarantine.decide(SERVICE, RequestContent.ofParts(List.of(parts)))
        instanceof ContentDecision.Held;
  }

  @Test
  public void partOfThreeCrashesIsHeldAndOthersAreNot() {
    crash("a", "bad");
    crash("a2", "bad");
    assertFalse(isHeld("a", "bad"));
    crash("a3", "bad");
    assertTrue(isHeld("a", "bad"));
    assertTrue(isHeld("bad"));
    assertFalse(isHeld("a", "b"));
    assertFalse(
        quarantine.decide("s2", RequestContent.ofParts(List.of("bad")))
            instanceof ContentDecision.Held);
  }

  @Test
  public void commonPartWithSoundResponsesIsNotBlamed() {
    for (int i = 0; i < 6; i++) {
      sound("a", "b" + i);
      crash("a", "bad");
    }
    assertTrue(isHeld("a", "bad"));
    assertFalse(isHeld("a", "b0"));
    assertEquals(quarantine.held().size(), 1);
  }

  @Test
  public void oneUpstreamThatBreaksManyResponsesBlamesNobody() {
    Upstream upstream = nextUpstream();
    for (int i = 0; i < 10; i++) {
      quarantine.recordCrash(upstream, RequestContent.ofParts(List.of("a", "b")));
      clock.advanceMs(1_000);
    }
    assertFalse(isHeld("a", "b"));
  }

  @Test
  public void upstreamThatGoesOnClearsItsCrash() {
    for (int i = 0; i < 6; i++) {
      Upstream upstream = nextUpstream();
      quarantine.recordCrash(upstream, RequestContent.ofParts(List.of("a")));
      clock.advanceMs(500);
      quarantine.recordSound(
          upstream, RequestContent.ofParts(List.of("other" + i)), clock.millis());
      clock.advanceMs(500);
    }
    assertFalse(isHeld("a"));
  }

  @Test
  public void requestIsNotRepeatedAfterTwoCrashes() {
    crash("bad");
    assertFalse(quarantine.isSuspected(SERVICE, RequestContent.ofParts(List.of("bad"))));
    crash("bad");
    assertTrue(quarantine.isSuspected(SERVICE, RequestContent.ofParts(List.of("x", "bad"))));
    assertFalse(quarantine.isSuspected(SERVICE, RequestContent.ofParts(List.of("x"))));
  }

  @Test
  public void releasedPartIsServedUntilItEndsUpstreamsAgain() {
    crash("bad");
    crash("bad");
    crash("bad");
    assertTrue(quarantine.release(SERVICE, "bad"));
    assertFalse(isHeld("bad"));
    assertFalse(quarantine.release(SERVICE, "unknown"));
    crash("bad");
    crash("bad");
    crash("bad");
    assertTrue(isHeld("bad"));
  }

  @Test
  public void trialIsGrantedOnceAndItsSuccessReleasesPart() {
    crash("bad");
    crash("bad");
    crash("bad");
    HeldContent held = quarantine.held().get(0);
    clock.advanceMs(held.trialAtMs() - clock.millis());
    assertTrue(
        quarantine.decide(SERVICE, RequestContent.ofParts(List.of("bad")))
            instanceof ContentDecision.Trial);
    assertTrue(isHeld("bad"));
    sound("bad");
    assertFalse(isHeld("bad"));
  }

  @Test
  public void evidenceIsBoundedWhateverThePrompts() {
    for (int i = 0; i < 20_000; i++) {
      quarantine.recordCrash(nextUpstream(), RequestContent.ofParts(List.of("p" + i, "q" + i)));
      quarantine.recordSound(
          nextUpstream(), RequestContent.ofParts(List.of("r" + i)), clock.millis());
    }
    assertTrue(table.all().size() <= MAX_RECORDS, table.all().size() + " records");
    clock.advanceMs(10_000);
    crash("p0");
    crash("p0");
    crash("p0");
    assertTrue(isHeld("p0"), "a part with evidence gathers more though there is no room");
  }

  private static RequestContent request(String fingerprint) {
    return RequestContent.of(List.of(), () -> fingerprint);
  }

  private void crashOfRequest(String fingerprint, int count) {
    for (int i = 0; i < count; i++) {
      quarantine.recordCrash(nextUpstream(), request(fingerprint));
      clock.advanceMs(10);
    }
  }

  private boolean isRequestHeld(String fingerprint) {
    return quarantine.decide(SERVICE, request(fingerprint)) instanceof ContentDecision.Held;
  }

  @Test
  public void requestOfThreeCrashesIsHeldAndOthersThatWereBesideItAreNot() {
    for (int i = 0; i < 3; i++) {
      Upstream upstream = nextUpstream();
      quarantine.recordCrash(upstream, request("bad"));
      quarantine.recordCrash(upstream, request("beside" + i));
    }
    assertTrue(isRequestHeld("bad"));
    assertFalse(isRequestHeld("beside0"));
    assertFalse(quarantine.decide("s2", request("bad")) instanceof ContentDecision.Held);
  }

  @Test
  public void requestThatWasAnsweredIsNotBlamed() {
    quarantine.recordSound(nextUpstream(), request("poll"), clock.millis());
    crashOfRequest("poll", 6);
    assertFalse(isRequestHeld("poll"));
    crashOfRequest("late", 6);
    assertTrue(isRequestHeld("late"));
    quarantine.recordSound(nextUpstream(), request("late"), clock.millis());
    assertFalse(isRequestHeld("late"));
  }

  @Test
  public void responseThatOnlyGoesOnDoesNotClearTheRequest() {
    crashOfRequest("bad", 3);
    quarantine.recordSound(nextUpstream(), request("bad").partsOnly(), clock.millis());
    assertTrue(isRequestHeld("bad"));
  }

  @Test
  public void requestIsTriedTwiceHoweverManyUpstreamsItEndedBefore() {
    crashOfRequest("bad", 8);
    int trials = 0;
    for (long endMs = clock.millis() + 4 * 3_600_000; clock.millis() < endMs; ) {
      clock.advanceMs(5_000);
      if (quarantine.decide(SERVICE, request("bad")) instanceof ContentDecision.Trial) {
        trials++;
        crashOfRequest("bad", 1);
      }
    }
    assertEquals(trials, 2);
    assertTrue(isRequestHeld("bad"));
  }

  @Test
  public void oneOfManyRequestsThatWereCutOffIsStillFound() {
    crashOfRequest("bad", 2);
    for (int i = 0; i < 20_000; i++) {
      quarantine.recordCrash(nextUpstream(), request("r" + i));
    }
    assertTrue(table.all().size() <= MAX_REQUEST_RECORDS, table.all().size() + " records");
    crashOfRequest("bad", 1);
    assertTrue(isRequestHeld("bad"));
  }
}
