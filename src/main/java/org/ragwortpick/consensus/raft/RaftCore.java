package org.ragwortpick.consensus.raft;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Raft implementation of one replica, without I/O. Inputs are ticks, messages, proposals and
 * completed syncs; outputs are messages, records to persist and entries to apply.
 *
 * <p>Not thread-safe. Equal inputs, clock and random numbers give equal outputs.
 */
public final class RaftCore {

  /** Limit of the entries that {@link #committedEntries} returns at once. */
  private static final int MAX_APPLY_ENTRIES = 1_024;

  private final ReplicaState state;
  private final Elections elections;
  private final FollowerRole followerRole;
  private final LeaderRole leaderRole;
  private Optional<String> failure = Optional.empty();
  private long nextJoinMs;

  /**
   * Creates a replica from the state on its disk.
   *
   * @param settings settings of the replica
   * @param recovered state on disk, which must be durable
   * @param clock monotonic clock
   * @param random source of election timeouts
   */
  public RaftCore(
      RaftSettings settings, RecoveredState recovered, Clock clock, RandomGenerator random) {
    this.state = new ReplicaState(settings, recovered, clock, random);
    this.followerRole = new FollowerRole(state);
    this.leaderRole = new LeaderRole(state);
    this.elections = new Elections(state, leaderRole::onElected);
  }

  /** Runs the timers. Must be called several times per heartbeat interval. */
  public void tick() {
    if (state.role() == Role.LEADER) {
      leaderRole.tick();
    } else if (state.role() != Role.FAILED) {
      requestJoinIfNeeded();
      elections.tick();
    }
    discardLeaderStateUnlessLeader();
  }

  /**
   * Handles a message. Messages for another identity are ignored.
   *
   * @param envelope the message
   */
  public void receive(Envelope envelope) {
    Message message = envelope.message();
    boolean isJoinRequest = message instanceof Message.JoinRequest;
    if (state.role() == Role.FAILED || !isJoinRequest && !envelope.to().equals(state.identity())) {
      return;
    }
    String from = envelope.from();
    if (isResponseOfLaterTerm(message)) {
      state.stepDown(message.term(), Optional.empty());
    } else if (message instanceof Message.VoteRequest request) {
      elections.onVoteRequest(from, request);
    } else if (message instanceof Message.VoteResponse response) {
      elections.onVoteResponse(from, response);
    } else if (message instanceof Message.AppendRequest request) {
      followerRole.onAppendRequest(from, request);
    } else if (message instanceof Message.SnapshotChunk chunk) {
      followerRole.onSnapshotChunk(from, chunk);
    } else if (isJoinRequest) {
      leaderRole.onJoinRequest(from);
    } else {
      leaderRole.onResponse(from, message);
    }
    discardLeaderStateUnlessLeader();
  }

  /**
   * Appends commands to the log of the leader.
   *
   * @param commands commands in order
   * @return index of the first command, or empty if the replica may not serve or too many bytes
   *     wait for their commit
   */
  public OptionalLong propose(List<byte[]> commands) {
    return leaderRole.propose(commands);
  }

  /**
   * Starts the replacement of a voter by another VM. {@link #isReplaced} returns whether it is
   * complete.
   *
   * @param oldVm VM to retire
   * @param newVm VM of the new voter
   * @return reason for a refusal; empty if the replacement was started
   */
  public Optional<String> startReplacement(String oldVm, String newVm) {
    return leaderRole.startReplacement(oldVm, newVm);
  }

  /** Cancels a replacement. Membership changes that were already appended are kept. */
  public void cancelReplacement() {
    leaderRole.cancelReplacement();
  }

  /**
   * Returns whether a replacement is committed.
   *
   * @param oldVm VM to retire
   * @param newVm VM of the new voter
   * @return whether the new VM votes and the old one does not
   */
  public boolean isReplaced(String oldVm, String newVm) {
    return state.log().membershipIndex() <= state.commitIndex()
        && new MembershipPlanner.Replacement(oldVm, newVm).isDone(state.log().membership());
  }

  /**
   * Handles a completed sync.
   *
   * @param sequence sequence number of the synced batch
   */
  public void onSynced(long sequence) {
    if (state.role() == Role.FAILED) {
      return;
    }
    long previousDurableIndex = state.durability().durableIndex();
    state.setStorageAvailable(true);
    state.outbox().onSynced(sequence);
    state.durability().onSynced(sequence, state.log());
    elections.onSynced();
    if (state.role() == Role.LEADER) {
      leaderRole.advanceCommit();
    } else if (state.durability().durableIndex() > previousDurableIndex) {
      followerRole.onDurable();
    }
    discardLeaderStateUnlessLeader();
  }

  /**
   * Handles a failed write. The replica keeps its role: a leader commits with the disks of the
   * others. It starts no elections and grants no votes until {@link #onSynced}.
   */
  public void onStorageFailed() {
    state.setStorageAvailable(false);
  }

  /** Handles a start whose recovered state could not be made durable. */
  public void onRecoveredStateUnsynced() {
    state.onRecoveredStateUnsynced();
    onStorageFailed();
  }

  /**
   * Stops the replica until a restart; it sends no more messages.
   *
   * @param detail cause, for operators
   */
  public void fail(String detail) {
    state.transition("FAILURE");
    state.setLeaderId(Optional.empty());
    state.outbox().clear();
    failure = failure.or(() -> Optional.of(detail));
    discardLeaderStateUnlessLeader();
  }

  /**
   * Records that entries were applied.
   *
   * @param index index of the last applied entry
   */
  public void onApplied(long index) {
    state.onApplied(index);
  }

  /**
   * Replaces the entries up to the applied index by a snapshot.
   *
   * @param data encoded state machine at the applied index
   */
  public void compact(byte[] data) {
    state.compact(data);
  }

  /**
   * Returns the snapshot that the state machine must restore before it applies further entries.
   *
   * @return the snapshot; empty if there is none or it was already returned
   */
  public Optional<RaftSnapshot> takeRestore() {
    return state.takeRestore();
  }

  /**
   * Returns the next entries to apply.
   *
   * @return committed entries after the applied index
   */
  public List<LogEntry> committedEntries() {
    List<LogEntry> entries = new ArrayList<>();
    long last = Math.min(state.commitIndex(), state.appliedIndex() + MAX_APPLY_ENTRIES);
    for (long index = state.appliedIndex() + 1; index <= last; index++) {
      entries.add(state.log().entry(index));
    }
    return entries;
  }

  /**
   * Returns the messages to send and removes them from the outputs. The receiver of a join request
   * is empty: it is sent to every control VM.
   *
   * @return messages in order
   */
  public List<Envelope> takeMessages() {
    return state.outbox().takeMessages();
  }

  /**
   * Returns the records to persist and removes them from the outputs.
   *
   * @return records, possibly none
   */
  public RecordBatch takeRecords() {
    return state.outbox().takeRecords();
  }

  /**
   * Returns a checkpoint of the complete state to persist in place of all earlier records, of which
   * some may have failed.
   *
   * @return one checkpoint
   */
  public RecordBatch takeCheckpoint() {
    state.replaceRecordsByCheckpoint();
    return takeRecords();
  }

  /**
   * Returns the status for health, metrics and callers.
   *
   * @return current status
   */
  public RaftStatus status() {
    RaftLog log = state.log();
    return new RaftStatus(
        state.identity(),
        state.role(),
        leaderRole.isReady(),
        state.term(),
        state.leaderId(),
        leaderRole.confirmedAtMs(),
        state.commitIndex(),
        state.appliedIndex(),
        log.lastIndex(),
        log.bytesAfterSnapshot(),
        log.snapshot().data().length,
        log.membership(),
        leaderRole.learners(),
        failure);
  }

  /** Returns whether the term is that of the responder; a granted vote has that of the election. */
  private static boolean carriesResponderTerm(Message message) {
    return message instanceof Message.AppendResponse
        || message instanceof Message.SnapshotResponse
        || message instanceof Message.VoteResponse response && !response.granted();
  }

  private boolean isResponseOfLaterTerm(Message message) {
    return carriesResponderTerm(message) && message.term() > state.term();
  }

  /** Sends a join request if this replica is new or has lost contact with the leader. */
  private void requestJoinIfNeeded() {
    RaftSettings settings = state.settings();
    boolean isNew = state.log().membership().voters().isEmpty() && state.leaderId().isEmpty();
    boolean hasLostLeader = state.sinceLeaderContactMs() > 2 * settings.electionMaxMs();
    if ((isNew || hasLostLeader) && state.nowMs() >= nextJoinMs) {
      nextJoinMs = state.nowMs() + settings.electionMinMs();
      state.outbox().send("", new Message.JoinRequest());
    }
  }

  private void discardLeaderStateUnlessLeader() {
    if (state.role() != Role.LEADER) {
      leaderRole.discardLeaderState();
    }
  }
}
