package org.ragwortpick.consensus.raft;

import static org.ragwortpick.consensus.raft.InvariantViolationException.check;

import java.time.Clock;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragwortpick.common.StateChart;

/** State of a replica that its roles share, with the transitions that keep it consistent. */
final class ReplicaState {

  private static final StateChart CHART = StateChart.load("replica.json");

  private final RaftSettings settings;
  private final Clock clock;
  private final RandomGenerator random;
  private final RaftLog log;
  private final Outbox outbox;
  private final Durability durability;

  private Role role = Role.valueOf(CHART.initialState());
  private HardState hardState;
  private long hardStateSequence;
  private Optional<String> leaderId = Optional.empty();
  private Optional<RaftSnapshot> restore = Optional.empty();
  private long commitIndex;
  private long appliedIndex;
  private long leaderContactMs;
  private long electionDeadlineMs;

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
    this.durability = new Durability(log.lastIndex());
    this.hardState = recovered.hardState();
    this.commitIndex = recovered.snapshot().index();
    this.appliedIndex = commitIndex;
    if (commitIndex > 0) {
      this.restore = Optional.of(recovered.snapshot());
    }
    // A restarted replica may have acknowledged a heartbeat just before, so it keeps the promise
    // to grant no vote for the lowest election timeout.
    heardLeader();
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
   * Returns what is known about the disk.
   *
   * @return durable part of the log
   */
  Durability durability() {
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
   * Returns the identity that got the vote of this term.
   *
   * @return identity; empty if none did
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
   * Returns whether this replica votes.
   *
   * @return whether the latest membership lists it
   */
  boolean isVoter() {
    return log.membership().voters().contains(identity());
  }

  /**
   * Returns whether no leader was heard for an election timeout.
   *
   * @return whether to ask for votes
   */
  boolean isElectionDue() {
    return nowMs() >= electionDeadlineMs;
  }

  /**
   * Returns the time since a leader of the current or a later term was heard.
   *
   * @return time in milliseconds
   */
  long sinceLeaderContactMs() {
    return nowMs() - leaderContactMs;
  }

  /** Notes that the leader was heard. */
  void heardLeader() {
    leaderContactMs = nowMs();
    resetElectionDeadline();
  }

  /** Chooses a new election timeout from now on. */
  void resetElectionDeadline() {
    electionDeadlineMs =
        nowMs() + random.nextLong(settings.electionMinMs(), settings.electionMaxMs());
  }

  /**
   * Notes the leader of the term.
   *
   * @param leader leader of the term
   */
  void setLeaderId(Optional<String> leader) {
    leaderId = leader;
  }

  /**
   * Follows the transition of the state chart.
   *
   * @param event event of the chart
   */
  void move(String event) {
    String next =
        CHART
            .next(role.name(), event)
            .orElseThrow(
                () -> new InvariantViolationException("role " + role + " refuses " + event));
    role = Role.valueOf(next);
  }

  /**
   * Becomes a follower in the current or a later term.
   *
   * @param term term
   * @param leader leader of the term
   */
  void stepDown(long term, Optional<String> leader) {
    move("STEP_DOWN");
    if (term > hardState.term()) {
      persist(new HardState(term, ""));
    }
    leaderId = leader;
    resetElectionDeadline();
  }

  /**
   * Changes term and vote.
   *
   * @param next next value
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
   * Returns whether term and vote are on disk.
   *
   * @return whether they are
   */
  boolean isHardStateSynced() {
    return outbox.isSynced(hardStateSequence);
  }

  /**
   * Sends a message once term and vote are on disk.
   *
   * @param to identity of the receiver
   * @param message the message
   */
  void sendAfterSync(String to, Message message) {
    outbox.sendAfterSync(hardStateSequence, to, message);
  }

  /**
   * Appends an entry and asks to persist it.
   *
   * @param entry the entry
   */
  void append(LogEntry entry) {
    log.append(entry);
    long sequence = outbox.persist(new LogRecord.Entry(entry));
    durability.written(sequence, entry.index(), entry.term());
  }

  /**
   * Raises the commit index. Lower values are ignored.
   *
   * @param index index in the log
   */
  void commit(long index) {
    if (index > commitIndex) {
      check(index <= log.lastIndex(), "commit within the log", index, log.lastIndex());
      commitIndex = index;
    }
  }

  /**
   * Notes that entries were applied.
   *
   * @param index index in the log
   */
  void applied(long index) {
    check(index <= commitIndex, "only committed entries are applied", index, commitIndex);
    check(index >= appliedIndex, "entries are applied in order", index, appliedIndex);
    appliedIndex = index;
  }

  /**
   * Replaces the applied entries by a snapshot.
   *
   * @param data encoded state
   */
  void compact(byte[] data) {
    log.compact(appliedIndex, data, settings.retainedEntries());
    persistCheckpoint();
  }

  /**
   * Replaces the state by a snapshot of the leader that is ahead of it.
   *
   * @param snapshot the snapshot
   */
  void install(RaftSnapshot snapshot) {
    check(snapshot.index() > commitIndex, "snapshot is ahead", snapshot.index(), commitIndex);
    log.install(snapshot);
    if (durability.durableIndex() < snapshot.index() || log.lastIndex() == snapshot.index()) {
      // Nothing counts as on disk until the checkpoint is.
      durability.truncated(1);
    }
    commitIndex = snapshot.index();
    appliedIndex = snapshot.index();
    restore = Optional.of(snapshot);
    persistCheckpoint();
  }

  /**
   * Hands out the snapshot that the state machine must restore.
   *
   * @return the snapshot, once
   */
  Optional<RaftSnapshot> takeRestore() {
    Optional<RaftSnapshot> taken = restore;
    restore = Optional.empty();
    return taken;
  }

  private void persistCheckpoint() {
    long sequence =
        outbox.persist(
            new LogRecord.Checkpoint(
                new RecoveredState(hardState, log.snapshot(), log.entriesAfterSnapshot())));
    durability.written(sequence, log.lastIndex(), log.lastTerm());
  }
}
