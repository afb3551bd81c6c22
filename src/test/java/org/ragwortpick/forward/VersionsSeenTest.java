package org.ragwortpick.forward;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.Upstream;
import org.ragwortpick.sync.UpstreamState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against the conclusion that a service has a single version while there may be others. */
public final class VersionsSeenTest {

  private static final String SERVICE = "s";
  private static final long STREAM_MS = 10_000;
  private static final long INTERVAL_MS = 500;
  private static final long WINDOW_MS = VersionsSeen.MIN_WINDOW_MS;
  private static final long CUT_OFF_MS = 5_000;
  private static final Optional<String> UNKNOWN = Optional.empty();

  private final List<Upstream> announced = new ArrayList<>();
  private ManualClock clock;
  private long viewAgeMs;
  private VersionsSeen seen;

  @BeforeMethod
  public void startWithOneVersion() {
    clock = new ManualClock();
    viewAgeMs = 0;
    announced.clear();
    announced.add(upstream("a"));
    seen = new VersionsSeen(() -> Set.of(SERVICE), service -> announced, () -> viewAgeMs, clock);
  }

  private static Upstream upstream(String version) {
    return new Upstream(
        "u-" + version,
        1,
        1,
        new HostPort("10.0.0.1", 80),
        "dc",
        SERVICE,
        "",
        version,
        List.of(),
        UpstreamState.READY,
        1,
        1,
        0,
        false);
  }

  private void observeFor(long durationMs) {
    for (long ms = 0; ms < durationMs; ms += INTERVAL_MS) {
      seen.observe();
      clock.advanceMs(INTERVAL_MS);
    }
    seen.observe();
  }

  private Optional<String> onlyVersion() {
    return seen.onlyVersion(SERVICE, STREAM_MS);
  }

  @Test
  public void versionIsConcludedAfterTheWindowAndNotBefore() {
    observeFor(WINDOW_MS);
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(INTERVAL_MS);
    assertEquals(onlyVersion(), Optional.of("a"));
  }

  @Test
  public void versionThatLeftCountsForTheWindow() {
    announced.add(upstream("b"));
    observeFor(2 * WINDOW_MS);
    assertEquals(onlyVersion(), UNKNOWN);
    announced.remove(1);
    observeFor(WINDOW_MS);
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(INTERVAL_MS);
    assertEquals(onlyVersion(), Optional.of("a"));
  }

  @Test
  public void versionThatAppearedInsideTheWindowIsNotConcluded() {
    observeFor(2 * WINDOW_MS);
    announced.clear();
    observeFor(WINDOW_MS);
    announced.add(upstream("b"));
    observeFor(INTERVAL_MS * 2);
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(WINDOW_MS);
    assertEquals(onlyVersion(), Optional.of("b"));
  }

  /** A stream of a version that left long ago may still run. */
  @Test
  public void windowIsNotShorterThanTheLongestStream() {
    observeFor(2 * WINDOW_MS);
    assertEquals(seen.onlyVersion(SERVICE, 3 * WINDOW_MS), UNKNOWN);
    assertEquals(seen.onlyVersion(SERVICE, VersionsSeen.MAX_WINDOW_MS + 1), UNKNOWN);
    observeFor(WINDOW_MS + INTERVAL_MS);
    assertEquals(seen.onlyVersion(SERVICE, 3 * WINDOW_MS), Optional.of("a"));
  }

  @Test
  public void frozenVmStartsAnew() {
    observeFor(2 * WINDOW_MS);
    clock.advanceMs(CUT_OFF_MS);
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(WINDOW_MS);
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(INTERVAL_MS);
    assertEquals(onlyVersion(), Optional.of("a"));
  }

  @Test
  public void vmThatWasCutOffStartsAnew() {
    observeFor(2 * WINDOW_MS);
    viewAgeMs = CUT_OFF_MS;
    assertEquals(onlyVersion(), UNKNOWN);
    viewAgeMs = 0;
    assertEquals(onlyVersion(), UNKNOWN);
    observeFor(WINDOW_MS + INTERVAL_MS);
    assertEquals(onlyVersion(), Optional.of("a"));
  }

  @Test
  public void viewThatLagsForAMomentConcludesNothingUntilItIsCurrent() {
    observeFor(2 * WINDOW_MS);
    viewAgeMs = CUT_OFF_MS / 2;
    assertEquals(onlyVersion(), UNKNOWN);
    viewAgeMs = 0;
    assertEquals(onlyVersion(), Optional.of("a"));
  }

  @Test
  public void unknownServiceHasNoVersion() {
    observeFor(2 * WINDOW_MS);
    assertEquals(seen.onlyVersion("other", STREAM_MS), UNKNOWN);
  }
}
