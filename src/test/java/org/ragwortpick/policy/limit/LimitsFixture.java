package org.ragwortpick.policy.limit;

import java.time.Clock;
import java.util.function.IntSupplier;
import org.ragwortpick.sync.directory.SoftTable;
import org.ragwortpick.sync.directory.SyncedUpstreamLimits;

/** Limits of a single VM for tests. */
public final class LimitsFixture {

  private LimitsFixture() {}

  /** Limits of the VM "vm", which sends alone and knows of no limit yet. */
  public static NamedLimits ofSingleVm(Clock clock) {
    return ofVm(clock, () -> 0);
  }

  /** Limits of one of two VMs, with its rank among those that may send. */
  public static NamedLimits ofVm(Clock clock, IntSupplier rank) {
    return new NamedLimits(
        new SyncedUpstreamLimits("vm", new SoftTable(), () -> {}),
        new RequestRateShare(clock),
        upstream -> new SenderRank(rank.getAsInt(), 2),
        clock);
  }
}
