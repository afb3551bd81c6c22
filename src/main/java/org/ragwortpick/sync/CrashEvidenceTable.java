package org.ragwortpick.sync;

import java.util.List;

/** Evidence about crashes of upstreams that all VMs share. */
public interface CrashEvidenceTable {

  /**
   * Returns the version of the newest change of the evidence.
   *
   * @return the version, different after each change
   */
  long version();

  /**
   * Lists the evidence of all VMs, as far as it has reached the local VM.
   *
   * @return one record for each service and content
   */
  List<CrashEvidence> all();

  /**
   * Adds evidence and sends it to the other VMs without delay.
   *
   * @param evidence the evidence
   */
  void add(CrashEvidence evidence);

  /**
   * Removes evidence from the local VM, to make room. Other VMs make room by themselves.
   *
   * @param evidence the evidence
   */
  void forget(CrashEvidence evidence);
}
