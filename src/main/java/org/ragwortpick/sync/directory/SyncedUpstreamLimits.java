package org.ragwortpick.sync.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragwortpick.sync.UpstreamLimit;
import org.ragwortpick.sync.UpstreamLimitTable;

/** Limits of upstreams over the soft state of the local VM. */
public final class SyncedUpstreamLimits implements UpstreamLimitTable {

  private final String vm;
  private final SoftTable table;
  private final Runnable pollTrigger;

  /**
   * Creates a view of a table.
   *
   * @param vm name of the local VM
   * @param table the table
   * @param pollTrigger called to poll early, so that a change reaches the other VMs
   */
  public SyncedUpstreamLimits(String vm, SoftTable table, Runnable pollTrigger) {
    this.vm = vm;
    this.table = table;
    this.pollTrigger = pollTrigger;
  }

  @Override
  public Optional<UpstreamLimit> find(String upstreamId) {
    return table
        .find(SoftRecord.OfUpstreamLimit.keyOf(upstreamId))
        .map(record -> ((SoftRecord.OfUpstreamLimit) record).limit());
  }

  @Override
  public List<UpstreamLimit> all() {
    List<UpstreamLimit> found = new ArrayList<>();
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfUpstreamLimit limit) {
        found.add(limit.limit());
      }
    }
    return found;
  }

  @Override
  public void add(UpstreamLimit limit) {
    if (table.mergeFromPoller(new SoftRecord.OfUpstreamLimit(limit), vm)) {
      pollTrigger.run();
    }
  }
}
