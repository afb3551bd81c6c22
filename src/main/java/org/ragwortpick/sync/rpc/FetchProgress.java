package org.ragwortpick.sync.rpc;

/**
 * Configuration and records that a VM is fetching.
 *
 * @param revision revision of the local view
 * @param offeredRevision revision of which parts have arrived; 0 if none have
 * @param receivedBytes bytes of it that have arrived
 * @param totalBytes bytes of the whole
 * @param recordsMissing whether the last source had more records than it sent
 * @param inForce whether the local view is in force
 */
record FetchProgress(
    long revision,
    long offeredRevision,
    int receivedBytes,
    int totalBytes,
    boolean recordsMissing,
    boolean inForce) {

  /**
   * Tells whether the local VM lacks something without which it serves by an old configuration, or
   * not at all.
   *
   * @return true if a configuration, records or a confirmation are missing
   */
  boolean isIncomplete() {
    return offeredRevision > revision || recordsMissing || !inForce;
  }
}
