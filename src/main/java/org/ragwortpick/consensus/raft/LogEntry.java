package org.ragwortpick.consensus.raft;

/**
 * One entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind what the data means
 * @param data command or encoded membership; empty for {@link Kind#NO_OP}
 */
public record LogEntry(long index, long term, Kind kind, byte[] data) {

  /** Bytes added to the data size of each entry, for its fields and its object. */
  public static final int OVERHEAD_BYTES = 64;

  /** Meaning of the data of an entry. */
  public enum Kind {
    /** Entry that a new leader appends to commit the entries of earlier terms. */
    NO_OP,
    /** Command for the state machine. */
    COMMAND,
    /** Encoded {@link Membership}. */
    MEMBERSHIP
  }

  /**
   * Returns the size that counts against limits.
   *
   * @return size in bytes
   */
  public int sizeBytes() {
    return data.length + OVERHEAD_BYTES;
  }
}
