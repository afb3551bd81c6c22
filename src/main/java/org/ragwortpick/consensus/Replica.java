package org.ragwortpick.consensus;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.ragwortpick.consensus.raft.Envelope;
import org.ragwortpick.consensus.raft.LogEntry;
import org.ragwortpick.consensus.raft.RaftCore;
import org.ragwortpick.consensus.raft.RaftSnapshot;
import org.ragwortpick.consensus.raft.RaftStatus;
import org.ragwortpick.consensus.raft.RecordBatch;
import org.ragwortpick.consensus.raft.ReplicaId;
import org.ragwortpick.consensus.raft.Role;
import org.ragwortpick.consensus.storage.LogStore;

/**
 * Connects the {@link RaftCore} of one replica with its log file, state machine and peers.
 *
 * <p>All state is confined to the loop executor. While one batch of records is written and synced
 * on the disk executor, further records are collected for the next batch. After a refused write the
 * complete state is written to a new file, again and again until that succeeds; until then nothing
 * counts as durable that was not durable before.
 */
final class Replica implements ConsensusGroup {

  /** Time without a commit after which a leader with a failed disk refuses proposals. */
  private static final long STALLED_COMMIT_MS = 150;

  private final String group;
  private final RaftCore core;
  private final LogStore store;
  private final StateMachine stateMachine;
  private final Executor loop;
  private final Executor diskExecutor;
  private final Consumer<List<Envelope>> outbound;
  private final ReplicaListener listener;
  private final Clock clock;
  private final long snapshotLogBytes;

  private final ConcurrentLinkedQueue<Proposal> proposals = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean proposalsScheduled = new AtomicBoolean();
  private final TreeMap<Long, PendingProposal> pendingProposals = new TreeMap<>();
  private final List<PendingReplacement> pendingReplacements = new ArrayList<>();
  private final StorageHealth storage = new StorageHealth();
  private boolean writeInProgress;
  private long commitWaitingSinceMs;
  private long appliedBytes;
  private volatile RaftStatus status;
  private volatile Optional<String> storageFailure = Optional.empty();

  /**
   * Creates a replica.
   *
   * @param group name of the group
   * @param core Raft core of the replica
   * @param store log file of the replica
   * @param stateMachine state machine of the group
   * @param loop executor to which all state is confined
   * @param diskExecutor executor that writes and syncs
   * @param outbound receives the messages to send
   * @param listener receives the failures of the replica
   * @param clock monotonic clock
   * @param snapshotLogBytes size in bytes of the log after which a snapshot is taken
   */
  Replica(
      String group,
      RaftCore core,
      LogStore store,
      StateMachine stateMachine,
      Executor loop,
      Executor diskExecutor,
      Consumer<List<Envelope>> outbound,
      ReplicaListener listener,
      Clock clock,
      long snapshotLogBytes) {
    this.group = group;
    this.core = core;
    this.store = store;
    this.stateMachine = stateMachine;
    this.loop = loop;
    this.diskExecutor = diskExecutor;
    this.outbound = outbound;
    this.listener = listener;
    this.clock = clock;
    this.snapshotLogBytes = snapshotLogBytes;
    store
        .openingError()
        .ifPresent(
            error -> {
              core.onRecoveredStateUnsynced();
              onStorageFailure(error);
            });
    this.status = core.status();
  }

  @Override
  public CompletionStage<Either<ConsensusError, AppliedEntry>> propose(byte[] command) {
    Proposal proposal = new Proposal(command, new CompletableFuture<>());
    proposals.add(proposal);
    if (proposalsScheduled.compareAndSet(false, true)) {
      submit(this::handleProposals);
    }
    return proposal.future;
  }

  @Override
  public Leadership leadership() {
    RaftStatus current = status;
    return new Leadership(current.ready(), current.term(), current.leaderId().map(ReplicaId::vmOf));
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return status.confirmedAtMs();
  }

  @Override
  public CompletionStage<Either<ConsensusError, AppliedEntry>> replaceMember(
      String oldVm, String newVm, long timeoutMs) {
    CompletableFuture<Either<ConsensusError, AppliedEntry>> future = new CompletableFuture<>();
    submit(
        () -> {
          Optional<String> refusal = core.startReplacement(oldVm, newVm);
          if (refusal.isPresent()) {
            future.complete(Either.left(new ConsensusError.ChangeRefused(refusal.get())));
          } else {
            pendingReplacements.add(
                new PendingReplacement(
                    oldVm, newVm, core.status().term(), clock.millis() + timeoutMs, future));
          }
        });
    return future;
  }

  @Override
  public GroupStatus status() {
    RaftStatus current = status;
    return new GroupStatus(
        group,
        current.identity(),
        current.role().name(),
        current.ready(),
        current.term(),
        current.leaderId().map(ReplicaId::vmOf),
        current.confirmedAtMs(),
        current.commitIndex(),
        current.appliedIndex(),
        current.lastIndex(),
        current.logBytes(),
        current.snapshotBytes(),
        current.membership().voters(),
        current.learners(),
        current.failure().or(() -> storageFailure));
  }

  /** Runs the timers of the replica. */
  void tick() {
    submit(core::tick);
  }

  /**
   * Queues received messages for the loop.
   *
   * @param envelopes messages in order
   */
  void receive(List<Envelope> envelopes) {
    submit(() -> envelopes.forEach(core::receive));
  }

  /**
   * Completes all pending calls with an error. Must be called once, after the executors stopped.
   */
  void failPendingCalls() {
    pendingProposals.values().forEach(Replica::completeUnknown);
    pendingProposals.clear();
    proposals.forEach(
        proposal ->
            proposal.future.complete(Either.left(new ConsensusError.NotLeader(Optional.empty()))));
    proposals.clear();
    pendingReplacements.forEach(
        next -> next.future.complete(Either.left(new ConsensusError.OutcomeUnknown())));
    pendingReplacements.clear();
  }

  private void submit(Runnable input) {
    loop.execute(
        () -> {
          try {
            input.run();
            handleOutputs();
          } catch (RuntimeException e) {
            fail("internal error: ", e);
            status = core.status();
            completeAfterLeadershipLoss();
          }
        });
  }

  private void handleProposals() {
    proposalsScheduled.set(false);
    List<Proposal> batch = new ArrayList<>();
    for (Proposal next = proposals.poll(); next != null; next = proposals.poll()) {
      batch.add(next);
    }
    if (isCommitStalled()) {
      ConsensusError error = new ConsensusError.StorageFailed(storage.failure().orElseThrow());
      batch.forEach(proposal -> proposal.future.complete(Either.left(error)));
      return;
    }
    OptionalLong first = core.propose(batch.stream().map(Proposal::command).toList());
    if (first.isPresent()) {
      long term = core.status().term();
      for (int i = 0; i < batch.size(); i++) {
        pendingProposals.put(first.getAsLong() + i, new PendingProposal(term, batch.get(i).future));
      }
    } else {
      ConsensusError error = proposalError(core.status());
      batch.forEach(proposal -> proposal.future.complete(Either.left(error)));
    }
  }

  /**
   * Returns whether a proposal would only wait: the own disk refuses writes, and those of the
   * others have not sufficed to commit the entries before it.
   */
  private boolean isCommitStalled() {
    return storage.failure().isPresent()
        && status.role() == Role.LEADER
        && status.commitIndex() < status.lastIndex()
        && clock.millis() - Math.max(commitWaitingSinceMs, storage.failedSinceMs())
            > STALLED_COMMIT_MS;
  }

  private static ConsensusError proposalError(RaftStatus current) {
    if (current.role() == Role.FAILED) {
      return new ConsensusError.StorageFailed(current.failure().orElse("unknown cause"));
    }
    if (current.ready()) {
      return new ConsensusError.Overloaded();
    }
    return new ConsensusError.NotLeader(
        current
            .leaderId()
            .filter(leader -> !leader.equals(current.identity()))
            .map(ReplicaId::vmOf));
  }

  private void handleOutputs() {
    Optional<RaftSnapshot> restore = core.takeRestore();
    if (restore.isPresent()) {
      stateMachine.restore(restore.get().data());
      appliedBytes = 0;
    }
    List<LogEntry> entries = core.committedEntries();
    while (!entries.isEmpty() && core.status().role() != Role.FAILED) {
      entries.forEach(this::apply);
      entries = core.committedEntries();
    }
    updateStatus();
    if (appliedBytes >= Math.max(snapshotLogBytes, status.snapshotBytes())
        && status.role() != Role.FAILED) {
      core.compact(stateMachine.snapshot());
      appliedBytes = 0;
    }
    completeAfterLeadershipLoss();
    List<Envelope> messages = core.takeMessages();
    if (!messages.isEmpty()) {
      outbound.accept(messages);
    }
    startWrite();
  }

  private void updateStatus() {
    RaftStatus previous = status;
    status = core.status();
    if (status.differsInMembersFrom(previous)) {
      listener.onChanged(previous, status);
    }
    boolean waited = previous.commitIndex() < previous.lastIndex();
    if (!waited || status.commitIndex() > previous.commitIndex()) {
      commitWaitingSinceMs = clock.millis();
    }
  }

  private void apply(LogEntry entry) {
    byte[] result =
        entry.kind() == LogEntry.Kind.COMMAND
            ? stateMachine.apply(entry.index(), entry.data())
            : new byte[0];
    core.onApplied(entry.index());
    appliedBytes += entry.sizeBytes();
    PendingProposal proposal = pendingProposals.remove(entry.index());
    if (proposal != null) {
      if (proposal.term == entry.term()) {
        proposal.future.complete(Either.right(new AppliedEntry(entry.index(), result)));
      } else {
        completeUnknown(proposal);
      }
    }
  }

  /** Completes the calls whose outcome is unknown because the leadership has ended. */
  private void completeAfterLeadershipLoss() {
    RaftStatus current = status;
    if (!pendingProposals.isEmpty()
        && (current.role() != Role.LEADER
            || pendingProposals.firstEntry().getValue().term != current.term())) {
      pendingProposals.values().forEach(Replica::completeUnknown);
      pendingProposals.clear();
    }
    pendingReplacements.removeIf(next -> completeReplacement(next, current));
  }

  private boolean completeReplacement(PendingReplacement request, RaftStatus current) {
    if (core.isReplaced(request.oldVm, request.newVm)) {
      request.future.complete(Either.right(new AppliedEntry(current.commitIndex(), new byte[0])));
    } else if (current.role() != Role.LEADER || current.term() != request.term) {
      request.future.complete(Either.left(new ConsensusError.OutcomeUnknown()));
    } else if (clock.millis() >= request.deadlineMs) {
      core.cancelReplacement();
      request.future.complete(
          Either.left(
              new ConsensusError.ChangeRefused(
                  "VM "
                      + request.newVm
                      + " did not replace VM "
                      + request.oldVm
                      + " within the timeout; start VM "
                      + request.newVm
                      + " and retry")));
    } else {
      return false;
    }
    return true;
  }

  private void startWrite() {
    if (writeInProgress || status.role() == Role.FAILED || !storage.mayWrite(clock.millis())) {
      return;
    }
    RecordBatch batch = storage.failure().isPresent() ? core.takeCheckpoint() : core.takeRecords();
    if (batch.records().isEmpty()) {
      return;
    }
    writeInProgress = true;
    diskExecutor.execute(
        () -> {
          Optional<Exception> error = write(batch);
          submit(() -> onWritten(batch, error));
        });
  }

  private Optional<Exception> write(RecordBatch batch) {
    try {
      store.write(batch.records());
      return Optional.empty();
    } catch (IOException | RuntimeException e) {
      return Optional.of(e);
    }
  }

  private void onWritten(RecordBatch batch, Optional<Exception> error) {
    writeInProgress = false;
    if (error.isEmpty()) {
      core.onSynced(batch.sequence());
      onStorageSuccess();
    } else if (error.get() instanceof IOException refused) {
      core.onStorageFailed();
      onStorageFailure(refused);
    } else {
      fail("internal error: ", error.get());
    }
  }

  private void onStorageFailure(IOException cause) {
    boolean first = storage.onFailure(cause, clock.millis());
    storageFailure = storage.failure();
    if (first) {
      listener.onStorageLost(cause);
    }
  }

  private void onStorageSuccess() {
    if (storage.failure().isPresent()) {
      storage.onSuccess();
      storageFailure = Optional.empty();
      listener.onStorageRegained(clock.millis() - storage.failedSinceMs());
    }
  }

  private void fail(String prefix, Exception cause) {
    core.fail(prefix + cause);
    listener.onStopped(cause);
  }

  private static void completeUnknown(PendingProposal proposal) {
    proposal.future.complete(Either.left(new ConsensusError.OutcomeUnknown()));
  }

  private record Proposal(
      byte[] command, CompletableFuture<Either<ConsensusError, AppliedEntry>> future) {}

  private record PendingProposal(
      long term, CompletableFuture<Either<ConsensusError, AppliedEntry>> future) {}

  private record PendingReplacement(
      String oldVm,
      String newVm,
      long term,
      long deadlineMs,
      CompletableFuture<Either<ConsensusError, AppliedEntry>> future) {}
}
