package org.ragwortpick.consensus.raft;

import java.util.function.Predicate;

/**
 * Settings of one replica.
 *
 * @param identity identity of the replica
 * @param mayVote returns whether the replicas of a VM may become voters
 * @param heartbeatMs interval of heartbeats
 * @param electionMinMs minimum election timeout; a replica that received a request of a leader
 *     grants no vote for this time
 * @param electionMaxMs maximum election timeout; a leader without a quorum steps down after it
 * @param retainedEntries entries kept in memory before the last snapshot for slow followers
 * @param retainedBytes limit of their total size
 * @param maxAppendBytes limit of the total size of the entries of one request
 * @param windowBytes limit of the total size of the entries sent to one follower and not
 *     acknowledged by it
 * @param snapshotChunkBytes size of the chunks of a snapshot
 * @param maxPendingBytes limit of the total size of the uncommitted entries of a leader
 * @param voterRemovalFloor number of voters down to which silent voters are removed; 0 disables
 *     their removal
 * @param voterTimeoutMs time without a response after which a voter above {@code voterRemovalFloor}
 *     is removed; it rejoins when it is reachable again
 */
public record RaftSettings(
    String identity,
    Predicate<String> mayVote,
    long heartbeatMs,
    long electionMinMs,
    long electionMaxMs,
    int retainedEntries,
    long retainedBytes,
    int maxAppendBytes,
    int windowBytes,
    int snapshotChunkBytes,
    long maxPendingBytes,
    int voterRemovalFloor,
    long voterTimeoutMs) {

  private static final long HEARTBEAT_MS = 100;

  /** Longer than the leader lease of 400 ms by more than the maximum clock drift, 1%. */
  private static final long ELECTION_MIN_MS = 500;

  private static final long ELECTION_MAX_MS = 1_000;
  private static final int RETAINED_ENTRIES = 1_000;
  private static final long RETAINED_BYTES = 1024 * 1024;
  private static final int MAX_APPEND_BYTES = 512 * 1024;
  private static final int WINDOW_BYTES = 4 * 1024 * 1024;

  /** Far below the message limit of the peer channels, 64 MiB. */
  private static final int SNAPSHOT_CHUNK_BYTES = 1024 * 1024;

  /** Above the longest pause of a healthy VM, and below the time that a new voter needs to join. */
  private static final long VOTER_TIMEOUT_MS = 2_500;

  private static final long MAX_PENDING_BYTES = 8L * 1024 * 1024;

  /**
   * Returns the production settings.
   *
   * @param identity identity of the replica
   * @param mayVote returns whether the replicas of a VM may become voters
   * @param voterRemovalFloor number of voters down to which silent voters are removed; 0 for never
   * @return the settings
   */
  public static RaftSettings standard(
      String identity, Predicate<String> mayVote, int voterRemovalFloor) {
    return new RaftSettings(
        identity,
        mayVote,
        HEARTBEAT_MS,
        ELECTION_MIN_MS,
        ELECTION_MAX_MS,
        RETAINED_ENTRIES,
        RETAINED_BYTES,
        MAX_APPEND_BYTES,
        WINDOW_BYTES,
        SNAPSHOT_CHUNK_BYTES,
        MAX_PENDING_BYTES,
        voterRemovalFloor,
        VOTER_TIMEOUT_MS);
  }
}
