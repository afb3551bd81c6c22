package org.ragwortpick.consensus.raft;

import static org.ragwortpick.consensus.raft.InvariantViolationException.check;

import java.time.Clock;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragwortpick.common.StateChart;

/** State shared by all roles of a replica, with the transitions that keep it consistent. */
final class ReplicaState {

  private static final StateChart CHART = StateChart.load("replica.json");

  /** Times that the election timeout doubles at most while elections fail. */
  private static final int MAX_TIMEOUT_DOUBLINGS = 2;

  private final RaftSettings settings;
  private final Clock clock;
  private final RandomGenerator random;
  private final RaftLog log;
  private final Outbox outbox;
  private final DurabilityTracker durability;

  private Role role = Role.valueOf(CHART.initialState());
  private HardState hardState;
  private long hardStateSequence;
  private Optional<String> leaderId = Optional.empty();
  private Optional<RaftSnapshot> pendingRestore = Optional.empty();
  private long commitIndex;
  private long appliedIndex;
  private long leaderContactMs;
  private long electionDeadlineMs;
  private int failedElections;
  private boolean storageAvailable = true;

  /**
   * Creates the state of a follower.
   *
   * @param settings settings of the replica
   * @param recovered state on disk
   * @param clock monotonic clock
   * @param random source of random numbers
   */
  ReplicaState(
      RaftSettings settings, RecoveredState recovered, Clock clock, RandomGenerator random) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.log = new RaftLog(recovered);
    this.outbox = new Outbox(settings.identity());
    this.durability = new DurabilityTracker(log.lastIndex());
    this.hardState = recovered.hardState();
    this.commitIndex = recovered.snapshot().index();
    this.appliedIndex = commitIndex;
    if (commitIndex > 0) {
      this.pendingRestore = Optional.of(recovered.snapshot());
    }
    // A restarted replica may have acknowledged a heartbeat just before the restart, so it grants
    // no vote for the minimum election timeout.
    recordLeaderContact();
  }

  /**
   * Returns the settings.
   *
   * @return settings
   */
  RaftSettings settings() {
    return settings;
  }

  /**
   * Returns the identity of this replica.
   *
   * @return identity
   */
  String identity() {
    return settings.identity();
  }

  /**
   * Returns the log.
   *
   * @return the log
   */
  RaftLog log() {
    return log;
  }

  /**
   * Returns the outputs.
   *
   * @return the outputs
   */
  Outbox outbox() {
    return outbox;
  }

  /**
   * Returns the tracker of the durable part of the log.
   *
   * @return the tracker
   */
  DurabilityTracker durability() {
    return durability;
  }

  /**
   * Returns the role.
   *
   * @return the role
   */
  Role role() {
    return role;
  }

  /**
   * Returns the current term.
   *
   * @return the term
   */
  long term() {
    return hardState.term();
  }

  /**
   * Returns the identity that received the vote of this replica in the current term.
   *
   * @return identity; empty if none
   */
  String votedFor() {
    return hardState.votedFor();
  }

  /**
   * Returns the leader of the term.
   *
   * @return identity, if known
   */
  Optional<String> leaderId() {
    return leaderId;
  }

  /**
   * Returns the index of the last committed entry.
   *
   * @return commit index
   */
  long commitIndex() {
    return commitIndex;
  }

  /**
   * Returns the index of the last applied entry.
   *
   * @return applied index
   */
  long appliedIndex() {
    return appliedIndex;
  }

  /**
   * Returns the time.
   *
   * @return monotonic time in milliseconds
   */
  long nowMs() {
    return clock.millis();
  }

  /**
   * Returns whether this replica is a voter.
   *
   * @return whether the latest membership lists this replica
   */
  boolean isVoter() {
    return log.membership().voters().contains(identity());
  }

  /**
   * Returns whether the election timeout has expired.
   *
   * @return whether to start an election
   */
  boolean isElectionDue() {
    return nowMs() >= electionDeadlineMs;
  }

  /**
   * Returns the time since the last request of a leader of the current or a later term.
   *
   * @return time in milliseconds
   */
  long sinceLeaderContactMs() {
    return nowMs() - leaderContactMs;
  }

  /** Records the receipt of a request of the leader and restarts the election timeout. */
  void recordLeaderContact() {
    leaderContactMs = nowMs();
    failedElections = 0;
    resetElectionDeadline();
  }

  /**
   * Records that an election of this replica has ended without a leader. The next timeouts are
   * longer: votes may take longer than usual, and several candidates may have divided them.
   */
  void recordFailedElection() {
    failedElections = Math.min(MAX_TIMEOUT_DOUBLINGS, failedElections + 1);
  }

  /** Restarts the election timeout with a new random duration. */
  void resetElectionDeadline() {
    long usualMs = random.nextLong(settings.electionMinMs(), settings.electionMaxMs());
    electionDeadlineMs = nowMs() + (usualMs << failedElections);
  }

  /**
   * Sets the leader of the term.
   *
   * @param leader identity of the leader, if known
   */
  void setLeaderId(Optional<String> leader) {
    leaderId = leader;
  }

  /**
   * Changes the role by an event of the state chart.
   *
   * @param event event of the chart
   * @throws InvariantViolationException if the chart has no transition for the event
   */
  void transition(String event) {
    String next =
        CHART
            .next(role.name(), event)
            .orElseThrow(
                () ->
                    new InvariantViolationException(
                        "replica.json has no transition from " + role + " on " + event));
    role = Role.valueOf(next);
  }

  /**
   * Becomes a follower in the current or a later term.
   *
   * @param term the term
   * @param leader identity of the leader of the term, if known
   */
  void stepDown(long term, Optional<String> leader) {
    transition("STEP_DOWN");
    if (term > hardState.term()) {
      persist(new HardState(term, ""));
    }
    leaderId = leader;
    resetElectionDeadline();
  }

  /**
   * Changes the term and the vote and adds a record that persists them.
   *
   * @param next new term and vote
   */
  void persist(HardState next) {
    check(next.term() >= hardState.term(), "terms never decrease", next, hardState);
    check(
        next.term() > hardState.term()
            || hardState.votedFor().isEmpty()
            || hardState.votedFor().equals(next.votedFor()),
        "one vote per term",
        next,
        hardState);
    hardState = next;
    hardStateSequence = outbox.persist(new LogRecord.State(next));
  }

  /**
   * Returns whether the current term and vote are durable.
   *
   * @return whether their record was synced
   */
  boolean isHardStateSynced() {
    return outbox.isSynced(hardStateSequence);
  }

  /**
   * Returns whether the disk accepted the last write. Without it no vote can be recorded, so the
   * replica neither votes nor starts an election.
   *
   * @return whether records can be persisted
   */
  boolean isStorageAvailable() {
    return storageAvailable;
  }

  /**
   * Records whether the disk accepts writes.
   *
   * @param available whether the last write succeeded
   */
  void setStorageAvailable(boolean available) {
    storageAvailable = available;
  }

  /** Records that the recovered state may not be durable, so that nothing relies on it yet. */
  void onRecoveredStateUnsynced() {
    durability.onTruncated(1);
    replaceRecordsByCheckpoint();
    hardStateSequence = outbox.createdSequence();
  }

  /** Replaces the records that were not taken yet by one checkpoint of the complete state. */
  void replaceRecordsByCheckpoint() {
    outbox.discardRecords();
    persistCheckpoint();
  }

  /**
   * Sends a message once the current term and vote are durable.
   *
   * @param to identity of the receiver
   * @param message the message
   */
  void sendAfterSync(String to, Message message) {
    outbox.sendAfterSync(hardStateSequence, to, message);
  }

  /**
   * Appends an entry and adds a record that persists it.
   *
   * @param entry the entry
   */
  void append(LogEntry entry) {
    log.append(entry);
    long sequence = outbox.persist(new LogRecord.Entry(entry));
    durability.onWritten(sequence, entry.index(), entry.term());
  }

  /**
   * Advances the commit index. Lower values are ignored.
   *
   * @param index index in the log
   */
  void advanceCommitIndex(long index) {
    if (index > commitIndex) {
      check(index <= log.lastIndex(), "commit within the log", index, log.lastIndex());
      commitIndex = index;
    }
  }

  /**
   * Records that entries were applied.
   *
   * @param index index of the last applied entry
   */
  void onApplied(long index) {
    check(index <= commitIndex, "only committed entries are applied", index, commitIndex);
    check(index >= appliedIndex, "entries are applied in order", index, appliedIndex);
    appliedIndex = index;
  }

  /**
   * Replaces the applied entries by a snapshot.
   *
   * @param data encoded state machine at the applied index
   */
  void compact(byte[] data) {
    log.compact(appliedIndex, data, settings.retainedEntries(), settings.retainedBytes());
    persistCheckpoint();
  }

  /**
   * Replaces the state by a snapshot of the leader that is ahead of the commit index.
   *
   * @param snapshot the snapshot
   */
  void install(RaftSnapshot snapshot) {
    check(snapshot.index() > commitIndex, "snapshot is ahead", snapshot.index(), commitIndex);
    log.install(snapshot);
    if (durability.durableIndex() < snapshot.index() || log.lastIndex() == snapshot.index()) {
      // No entry counts as durable until the checkpoint is synced.
      durability.onTruncated(1);
    }
    commitIndex = snapshot.index();
    appliedIndex = snapshot.index();
    pendingRestore = Optional.of(snapshot);
    persistCheckpoint();
  }

  /**
   * Returns the snapshot that the state machine must restore.
   *
   * @return the snapshot; empty if there is none or it was already returned
   */
  Optional<RaftSnapshot> takeRestore() {
    Optional<RaftSnapshot> taken = pendingRestore;
    pendingRestore = Optional.empty();
    return taken;
  }

  private void persistCheckpoint() {
    long sequence =
        outbox.persist(
            new LogRecord.Checkpoint(
                new RecoveredState(hardState, log.snapshot(), log.entriesAfterSnapshot())));
    durability.onWritten(sequence, log.lastIndex(), log.lastTerm());
  }
}
