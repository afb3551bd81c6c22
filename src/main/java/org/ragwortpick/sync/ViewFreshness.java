package org.ragwortpick.sync;

import java.time.Clock;
import org.ragwortpick.common.SuspensionDetector;

/** Tells how far the view of the local VM may be behind the leader. */
public final class ViewFreshness {

  /**
   * Age of the view up to which a VM gives work to upstreams on behalf of other VMs. A leaving
   * upstream gets no new work two seconds after its farewell, of which half a second passes until
   * the leader knows it.
   */
  private static final long MAX_AGE_MS = 1_400;

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
   * Tells whether the view was confirmed since the process last woke from a suspension.
   *
   * @return false if upstreams may have left or turned cold while the process was suspended
   */
  public boolean isConfirmedSinceWaking() {
    return view.confirmedAtMs() > suspensions.wokeAtMs();
  }

  /**
   * Tells whether the local VM may give work of other VMs to upstreams.
   *
   * @return whether the view is confirmed since the last suspension and recent
   */
  public boolean isRecent() {
    return isConfirmedSinceWaking() && clock.millis() - view.confirmedAtMs() <= MAX_AGE_MS;
  }
}
