package org.ragwortpick.policy.limit;

import java.time.Clock;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedUpstreamLimits;

/** Limits of a single VM for tests. */
public final class LimitsFixture {

  private LimitsFixture() {}

  /** Limits of the VM "vm", which sends alone and knows of no limit yet. */
  public static NamedLimits ofSingleVm(Clock clock) {
    return new NamedLimits(
        new SyncedUpstreamLimits("vm", new SoftTable(), () -> {}),
        new RequestRateShare(clock),
        upstream -> new SenderRank(0, 1),
        clock);
  }
}
