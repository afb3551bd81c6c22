package org.ragwortpick.consensus.raft;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * One replica of a replicated log, without I/O. Inputs are ticks, messages, proposals and completed
 * syncs; outputs are messages, records to persist and entries to apply.
 *
 * <p>Not thread-safe. Equal inputs, clock and random numbers give equal outputs.
 */
public final class RaftCore {

  private static final int MAX_APPLY_ENTRIES = 1_024;

  private final ReplicaState state;
  private final Elections elections;
  private final Following following;
  private final Leading leading;
  private Optional<String> failure = Optional.empty();
  private long nextJoinMs;

  /**
   * Creates a replica from what is on its disk.
   *
   * @param settings settings
   * @param recovered state on disk, which must be synced
   * @param clock monotonic clock
   * @param random source of election timeouts
   */
  public RaftCore(
      RaftSettings settings, RecoveredState recovered, Clock clock, RandomGenerator random) {
    this.state = new ReplicaState(settings, recovered, clock, random);
    this.following = new Following(state);
    this.leading = new Leading(state);
    this.elections = new Elections(state, leading::onElected);
  }

  /** Handles the passage of time. To be called several times per heartbeat interval. */
  public void tick() {
    if (state.role() == Role.LEADER) {
      leading.tick();
    } else if (state.role() != Role.FAILED) {
      askToJoin();
      elections.tick();
    }
    afterInput();
  }

  /**
   * Handles a message. Messages for another identity are ignored.
   *
   * @param envelope the message
   */
  public void receive(Envelope envelope) {
    Message message = envelope.message();
    boolean join = message instanceof Message.JoinRequest;
    if (state.role() == Role.FAILED || !join && !envelope.to().equals(state.identity())) {
      return;
    }
    String from = envelope.from();
    if (isAnswerOfLaterTerm(message)) {
      state.stepDown(message.term(), Optional.empty());
    } else if (message instanceof Message.VoteRequest request) {
      elections.onVoteRequest(from, request);
    } else if (message instanceof Message.VoteResponse response) {
      elections.onVoteResponse(from, response);
    } else if (message instanceof Message.AppendRequest request) {
      following.onAppendRequest(from, request);
    } else if (message instanceof Message.SnapshotChunk chunk) {
      following.onSnapshotChunk(from, chunk);
    } else if (join) {
      leading.onJoinRequest(from);
    } else {
      leading.onResponse(from, message);
    }
    afterInput();
  }

  /**
   * Appends commands to the log of the leader.
   *
   * @param commands commands in order
   * @return index of the first command, or empty if the replica may not serve or too many bytes
   *     wait for their commit
   */
  public OptionalLong propose(List<byte[]> commands) {
    return leading.propose(commands);
  }

  /**
   * Starts to move a voter to another VM. {@link #isReplaced} tells when it is done.
   *
   * @param oldVm VM to retire
   * @param newVm VM that takes its place
   * @return the reason for which the request is refused, if it is
   */
  public Optional<String> replace(String oldVm, String newVm) {
    return leading.replace(oldVm, newVm);
  }

  /** Gives up a replacement. Steps that were appended already stay. */
  public void cancelReplacement() {
    leading.cancelReplacement();
  }

  /**
   * Returns whether a replacement is committed.
   *
   * @param oldVm VM to retire
   * @param newVm VM that takes its place
   * @return whether the new VM votes and the old one does not
   */
  public boolean isReplaced(String oldVm, String newVm) {
    return state.log().membershipIndex() <= state.commitIndex()
        && new MembershipSteps.Replacement(oldVm, newVm).isDone(state.log().membership());
  }

  /**
   * Handles a completed sync.
   *
   * @param sequence sequence number of the synced batch
   */
  public void synced(long sequence) {
    if (state.role() == Role.FAILED) {
      return;
    }
    long before = state.durability().durableIndex();
    state.outbox().synced(sequence);
    state.durability().synced(sequence, state.log());
    elections.onSynced();
    if (state.role() == Role.LEADER) {
      leading.advanceCommit();
    } else if (state.durability().durableIndex() > before) {
      following.onDurable();
    }
    afterInput();
  }

  /**
   * Stops the replica for good: it sends nothing any more.
   *
   * @param detail cause for operators
   */
  public void fail(String detail) {
    state.move("FAILURE");
    state.setLeaderId(Optional.empty());
    state.outbox().clear();
    failure = failure.or(() -> Optional.of(detail));
    afterInput();
  }

  /**
   * Notes that entries were applied.
   *
   * @param index index of the last applied entry
   */
  public void applied(long index) {
    state.applied(index);
  }

  /**
   * Replaces the entries up to the applied index by a snapshot.
   *
   * @param data encoded state after the applied index
   */
  public void compact(byte[] data) {
    state.compact(data);
  }

  /**
   * Hands out the snapshot that the state machine must restore before further entries.
   *
   * @return the snapshot, once
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
   * Hands out the messages to send now. The receiver of a join request is empty: it goes to every
   * control VM.
   *
   * @return messages in order
   */
  public List<Envelope> takeMessages() {
    return state.outbox().takeMessages();
  }

  /**
   * Hands out the records to persist.
   *
   * @return records, possibly none
   */
  public RecordBatch takeRecords() {
    return state.outbox().takeRecords();
  }

  /**
   * Returns the state for health, metrics and callers.
   *
   * @return state at this moment
   */
  public RaftStatus status() {
    RaftLog log = state.log();
    return new RaftStatus(
        state.identity(),
        state.role(),
        leading.isReady(),
        state.term(),
        state.leaderId(),
        leading.confirmedAtMs(),
        state.commitIndex(),
        state.appliedIndex(),
        log.lastIndex(),
        log.bytesAfterSnapshot(),
        log.snapshot().data().length,
        log.membership(),
        leading.learners(),
        failure);
  }

  private static boolean isAnswer(Message message) {
    return message instanceof Message.AppendResponse
        || message instanceof Message.SnapshotResponse
        || message instanceof Message.VoteResponse response && !response.granted();
  }

  private boolean isAnswerOfLaterTerm(Message message) {
    return isAnswer(message) && message.term() > state.term();
  }

  /** A replica without a voter's identity, or without a leader for long, asks for the log. */
  private void askToJoin() {
    RaftSettings settings = state.settings();
    boolean isNew = state.log().membership().voters().isEmpty() && state.leaderId().isEmpty();
    boolean isLeftAlone = state.sinceLeaderContactMs() > 2 * settings.electionMaxMs();
    if ((isNew || isLeftAlone) && state.nowMs() >= nextJoinMs) {
      nextJoinMs = state.nowMs() + settings.electionMinMs();
      state.outbox().send("", new Message.JoinRequest());
    }
  }

  private void afterInput() {
    if (state.role() != Role.LEADER) {
      leading.clear();
    }
  }
}
