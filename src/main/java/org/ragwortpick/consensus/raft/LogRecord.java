package org.ragwortpick.consensus.raft;

/** Record that the core asks to persist. Records are written in the order of their creation. */
public sealed interface LogRecord {

  /**
   * Term and vote.
   *
   * @param state term and vote
   */
  record State(HardState state) implements LogRecord {}

  /**
   * Entry. It replaces all entries at its index and after it.
   *
   * @param entry the entry
   */
  record Entry(LogEntry entry) implements LogRecord {}

  /**
   * Snapshot with the complete state after it. It replaces the log file.
   *
   * @param state term, vote, snapshot and the entries after the snapshot
   */
  record Checkpoint(RecoveredState state) implements LogRecord {}
}
