package org.ragwortpick.sync.directory;

import java.util.ArrayList;
import java.util.List;
import org.ragwortpick.sync.CrashEvidence;
import org.ragwortpick.sync.CrashEvidenceTable;

/** Evidence about crashes over the soft state of the local VM. */
public final class SyncedCrashEvidence implements CrashEvidenceTable {

  private final String vm;
  private final SoftTable table;
  private final Runnable pollTrigger;

  /**
   * Creates a view of a table.
   *
   * @param vm name of the local VM
   * @param table the table
   * @param pollTrigger called to poll early, so that new evidence reaches the other VMs
   */
  public SyncedCrashEvidence(String vm, SoftTable table, Runnable pollTrigger) {
    this.vm = vm;
    this.table = table;
    this.pollTrigger = pollTrigger;
  }

  @Override
  public long version() {
    return table.crashEvidenceVersion();
  }

  @Override
  public List<CrashEvidence> all() {
    List<CrashEvidence> found = new ArrayList<>();
    for (SoftRecord record : table.all()) {
      if (record instanceof SoftRecord.OfCrashEvidence evidence) {
        found.add(evidence.evidence());
      }
    }
    return found;
  }

  @Override
  public void add(CrashEvidence evidence) {
    if (table.mergeFromPoller(new SoftRecord.OfCrashEvidence(evidence), vm)) {
      pollTrigger.run();
    }
  }

  @Override
  public void forget(CrashEvidence evidence) {
    table.remove(SoftRecord.OfCrashEvidence.keyOf(evidence.service(), evidence.content()));
  }
}
