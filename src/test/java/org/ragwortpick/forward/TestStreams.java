package org.ragwortpick.forward;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.ragwortpick.common.ManualClock;
import org.ragwortpick.sync.Upstream;

/** What a server under test knows of streams, with a clock of its own for the versions seen. */
final class TestStreams {

  private static final long OBSERVE_INTERVAL_MS = 1_000;

  private final RecordedOrigins origins = new RecordedOrigins();
  private final ManualClock clock = new ManualClock();
  private final VersionsSeen versionsSeen;
  private volatile long viewAgeMs;

  TestStreams(Function<String, List<Upstream>> upstreamsOf) {
    this.versionsSeen = new VersionsSeen(() -> Set.of("s1"), upstreamsOf, () -> viewAgeMs, clock);
  }

  RecordedOrigins origins() {
    return origins;
  }

  VersionsSeen versionsSeen() {
    return versionsSeen;
  }

  /** Sets the age of the view of the upstreams. */
  void setViewAge(long ageMs) {
    viewAgeMs = ageMs;
  }

  /** Observes the versions for a time, which passes at once. */
  void seeVersionsFor(long durationMs) {
    for (long ms = 0; ms < durationMs; ms += OBSERVE_INTERVAL_MS) {
      versionsSeen.observe();
      clock.advanceMs(OBSERVE_INTERVAL_MS);
    }
    versionsSeen.observe();
  }
}
