package org.ragwortpick.consensus.raft;

/** Record that the core outputs for persistence. Records are written in creation order. */
public sealed interface LogRecord {

  /**
   * Term and vote.
   *
   * @param state term and vote
   */
  record State(HardState state) implements LogRecord {}

  /**
   * Log entry. Replaces all entries at its index and after it.
   *
   * @param entry the entry
   */
  record Entry(LogEntry entry) implements LogRecord {}

  /**
   * Snapshot and the complete state after it. Replaces the log file.
   *
   * @param state term, vote, snapshot and the entries after the snapshot
   */
  record Checkpoint(RecoveredState state) implements LogRecord {}
}
