package org.ragwortpick.consensus;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a group without a leader while messages take long, as between processes that have
 * all just started and lack processor time.
 */
public final class SlowElectionTest {

  /** Time after which service must be back once all VMs are. */
  private static final long RECOVERY_MS = 12_000;

  private static final int SEEDS = 40;

  /** Voters, largest delay of a message in milliseconds. */
  @DataProvider
  public static Object[][] groups() {
    return new Object[][] {{3, 400}, {4, 400}, {8, 400}, {3, 700}, {4, 700}, {8, 700}};
  }

  @Test(dataProvider = "groups")
  public void leaderIsElectedWithinRecoveryTime(int voters, int maxDelayMs) {
    for (int seed = 0; seed < SEEDS; seed++) {
      SimulatedGroup group = new SimulatedGroup(seed, voters);
      group.setLinks(0, maxDelayMs);
      group.awaitWithin(
          RECOVERY_MS, "a leader with seed " + seed, () -> group.leader().isPresent());
    }
  }
}
