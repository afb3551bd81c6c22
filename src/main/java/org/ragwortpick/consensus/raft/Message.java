package org.ragwortpick.consensus.raft;

import java.util.List;

/** Message between the replicas of a group. */
public sealed interface Message {

  /**
   * Returns the term of the message.
   *
   * @return term; 0 for a join request
   */
  long term();

  /**
   * Request for a vote or, as a pre-vote, the question whether the vote would be granted.
   *
   * @param term term of the election
   * @param lastIndex last index of the candidate
   * @param lastTerm term of that entry
   * @param preVote whether this is a pre-vote, which changes no state of the receiver
   */
  record VoteRequest(long term, long lastIndex, long lastTerm, boolean preVote)
      implements Message {}

  /**
   * Response to a vote request.
   *
   * @param term term of the election if granted, term of the responder otherwise
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is granted
   */
  record VoteResponse(long term, boolean preVote, boolean granted) implements Message {}

  /**
   * Entries or, without entries, a heartbeat.
   *
   * @param term term of the leader
   * @param previousIndex index before the first entry
   * @param previousTerm term at that index
   * @param entries entries, possibly none
   * @param commitIndex commit index of the leader
   * @param sentAtMs monotonic time of the leader, returned in the response
   */
  record AppendRequest(
      long term,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex,
      long sentAtMs)
      implements Message {}

  /**
   * Response to entries, a heartbeat or a complete snapshot.
   *
   * @param term term of the follower
   * @param success whether the log of the follower matched
   * @param matchIndex highest index known to match the leader and to be on disk; if not successful,
   *     the index at which the leader should try next
   * @param rejectedIndex if not successful, the index that did not match
   * @param sentAtMs time of the latest request of the leader that was received
   */
  record AppendResponse(
      long term, boolean success, long matchIndex, long rejectedIndex, long sentAtMs)
      implements Message {}

  /**
   * Chunk of a snapshot.
   *
   * @param term term of the leader
   * @param snapshot index, term and membership of the snapshot, without data
   * @param totalBytes size in bytes of the encoded state
   * @param offset position of this chunk in the encoded state
   * @param data bytes of this chunk
   * @param sentAtMs monotonic time of the leader, returned in the response
   */
  record SnapshotChunk(
      long term, RaftSnapshot snapshot, long totalBytes, long offset, byte[] data, long sentAtMs)
      implements Message {}

  /**
   * Response to a chunk of a snapshot that is not complete yet.
   *
   * @param term term of the follower
   * @param snapshotIndex index of the snapshot
   * @param nextOffset position of the next missing byte
   * @param sentAtMs time of the request
   */
  record SnapshotResponse(long term, long snapshotIndex, long nextOffset, long sentAtMs)
      implements Message {}

  /** Request of a replica without a leader to receive the log as a learner. */
  record JoinRequest() implements Message {
    @Override
    public long term() {
      return 0;
    }
  }
}
