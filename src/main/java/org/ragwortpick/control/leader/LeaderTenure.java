package org.ragwortpick.control.leader;

import java.time.Clock;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.consensus.Leadership;

/**
 * Time for which the local replica has led its current term. It is measured from the first
 * observation, which follows the election, so it is never too long.
 */
public final class LeaderTenure {

  private final ConsensusGroup group;
  private final Clock monotonicClock;
  private long observedTerm = -1;
  private long observedAtMs;

  /**
   * Creates the tenure of one group.
   *
   * @param group the group
   * @param monotonicClock clock for the time
   */
  public LeaderTenure(ConsensusGroup group, Clock monotonicClock) {
    this.group = group;
    this.monotonicClock = monotonicClock;
  }

  /**
   * Returns the time since the local replica was first observed as leader of the current term.
   *
   * @return time in milliseconds; 0 if it does not lead
   */
  public synchronized long leadingForMs() {
    Leadership leadership = group.leadership();
    if (!leadership.leader()) {
      observedTerm = -1;
      return 0;
    }
    long nowMs = monotonicClock.millis();
    if (leadership.term() != observedTerm) {
      observedTerm = leadership.term();
      observedAtMs = nowMs;
    }
    return nowMs - observedAtMs;
  }
}
