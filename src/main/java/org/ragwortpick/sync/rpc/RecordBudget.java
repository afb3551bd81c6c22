package org.ragwortpick.sync.rpc;

import org.ragwortpick.sync.directory.SoftRecord;
import org.ragwortpick.sync.directory.SoftTable;

/** Limits the encoded size of the records of one message. */
final class RecordBudget implements SoftTable.MessageLimit {

  private final long nowMs;
  private long remainingBytes;

  /**
   * Creates the limit of one message.
   *
   * @param maxBytes maximum size of the records in bytes
   * @param nowMs monotonic time of the local VM in milliseconds
   */
  RecordBudget(int maxBytes, long nowMs) {
    this.remainingBytes = maxBytes;
    this.nowMs = nowMs;
  }

  @Override
  public boolean admits(SoftRecord record, boolean loadOnly) {
    remainingBytes -= SyncCodec.encodedBytes(record, loadOnly, nowMs);
    return remainingBytes >= 0;
  }
}
