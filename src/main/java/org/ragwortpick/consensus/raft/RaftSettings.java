package org.ragwortpick.consensus.raft;

import java.util.function.Predicate;

/**
 * Settings of one replica.
 *
 * @param identity identity of the replica
 * @param mayVote tells whether the replicas of a VM may become voters
 * @param heartbeatMs interval of heartbeats
 * @param electionMinMs lowest election timeout; a replica that heard a leader grants no vote for
 *     this time
 * @param electionMaxMs highest election timeout; a leader without a quorum steps down after it
 * @param retainedEntries entries kept in memory before the last snapshot for slow followers
 * @param maxAppendBytes limit of the entries of one request
 * @param windowBytes limit of the entries sent to one follower and not acknowledged by it
 * @param snapshotChunkBytes size of the parts of a snapshot
 * @param maxPendingBytes limit of the entries appended by a leader and not committed
 * @param keptVoters voters below which a silent one is never removed; 0 keeps all
 * @param voterTimeoutMs silence after which a voter beyond {@code keptVoters} is removed; it joins
 *     again when it is back
 */
public record RaftSettings(
    String identity,
    Predicate<String> mayVote,
    long heartbeatMs,
    long electionMinMs,
    long electionMaxMs,
    int retainedEntries,
    int maxAppendBytes,
    int windowBytes,
    int snapshotChunkBytes,
    long maxPendingBytes,
    int keptVoters,
    long voterTimeoutMs) {

  private static final long HEARTBEAT_MS = 100;

  /** Longer than the leader lease of 400 ms by more than the bound of clock drift, 1%. */
  private static final long ELECTION_MIN_MS = 500;

  private static final long ELECTION_MAX_MS = 1_000;
  private static final int RETAINED_ENTRIES = 1_000;
  private static final int MAX_APPEND_BYTES = 512 * 1024;
  private static final int WINDOW_BYTES = 4 * 1024 * 1024;

  /** Far below the message limit of the peer channels, 64 MiB. */
  private static final int SNAPSHOT_CHUNK_BYTES = 1024 * 1024;

  /** Above the longest pause of a healthy VM, and below the time in which a successor counts. */
  private static final long VOTER_TIMEOUT_MS = 2_500;

  private static final long MAX_PENDING_BYTES = 64L * 1024 * 1024;

  /**
   * Returns the settings of the design page.
   *
   * @param identity identity of the replica
   * @param mayVote tells whether the replicas of a VM may become voters
   * @param keptVoters voters below which a silent one is never removed; 0 keeps all
   * @return the settings
   */
  public static RaftSettings standard(String identity, Predicate<String> mayVote, int keptVoters) {
    return new RaftSettings(
        identity,
        mayVote,
        HEARTBEAT_MS,
        ELECTION_MIN_MS,
        ELECTION_MAX_MS,
        RETAINED_ENTRIES,
        MAX_APPEND_BYTES,
        WINDOW_BYTES,
        SNAPSHOT_CHUNK_BYTES,
        MAX_PENDING_BYTES,
        keptVoters,
        VOTER_TIMEOUT_MS);
  }
}
