package org.ragwortpick.sync;

import java.time.Clock;
import org.ragwortpick.common.SuspensionDetector;

/** Tells how far the view of the local VM may be behind the leader. */
public final class ViewFreshness {

  /** Age of a view that no leader has confirmed, longer than any uptime. */
  public static final long UNCONFIRMED_MS = Long.MAX_VALUE / 4;

  private final ConfigurationView view;
  private final SuspensionDetector suspensions;
  private final Clock clock;

  /**
   * Creates the judge of one VM.
   *
   * @param view configuration view, confirmed together with the directory
   * @param suspensions detector of suspensions
   * @param clock monotonic clock
   */
  public ViewFreshness(ConfigurationView view, SuspensionDetector suspensions, Clock clock) {
    this.view = view;
    this.suspensions = suspensions;
    this.clock = clock;
  }

  /**
   * Tells whether the view was confirmed since the process last resumed from a suspension.
   *
   * @return false if upstreams may have left or turned cold while the process was suspended
   */
  public boolean isConfirmedSinceWaking() {
    return view.confirmedAtMs() > suspensions.resumedAtMs();
  }

  /**
   * Returns how long ago the view was confirmed.
   *
   * @return age in milliseconds; {@link #UNCONFIRMED_MS} if not since the last suspension
   */
  public long ageMs() {
    return isConfirmedSinceWaking() ? clock.millis() - view.confirmedAtMs() : UNCONFIRMED_MS;
  }
}
