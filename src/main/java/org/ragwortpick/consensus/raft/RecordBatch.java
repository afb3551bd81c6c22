package org.ragwortpick.consensus.raft;

import java.util.List;

/**
 * Records to write with one sync.
 *
 * @param sequence number to pass to {@link RaftCore#onSynced} after the sync
 * @param records records in the order in which they must be written
 */
public record RecordBatch(long sequence, List<LogRecord> records) {}
