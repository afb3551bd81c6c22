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
 * Connects the core of one replica with its log file, its state machine and its peers.
 *
 * <p>All state is confined to the loop executor. While one batch of records is written and synced
 * on the disk executor, further records gather for the next batch.
 */
final class Replica implements ConsensusGroup {

  private final String group;
  private final RaftCore core;
  private final LogStore store;
  private final StateMachine stateMachine;
  private final Executor loop;
  private final Executor diskExecutor;
  private final Consumer<List<Envelope>> outbound;
  private final Consumer<Exception> onFailure;
  private final Clock clock;
  private final long snapshotLogBytes;

  private final ConcurrentLinkedQueue<Proposal> proposals = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean proposalsScheduled = new AtomicBoolean();
  private final TreeMap<Long, Pending> pending = new TreeMap<>();
  private final List<PendingReplacement> replacements = new ArrayList<>();
  private boolean writing;
  private long appliedBytes;
  private volatile RaftStatus status;

  /**
   * Creates a replica.
   *
   * @param group name of the group
   * @param core core of the replica
   * @param store log file of the replica
   * @param stateMachine state machine of the group
   * @param loop executor to which all state is confined
   * @param diskExecutor executor that writes and syncs
   * @param outbound takes the messages to send
   * @param onFailure takes the error that stops the replica
   * @param clock monotonic clock
   * @param snapshotLogBytes size of the log after which a snapshot is taken
   */
  Replica(
      String group,
      RaftCore core,
      LogStore store,
      StateMachine stateMachine,
      Executor loop,
      Executor diskExecutor,
      Consumer<List<Envelope>> outbound,
      Consumer<Exception> onFailure,
      Clock clock,
      long snapshotLogBytes) {
    this.group = group;
    this.core = core;
    this.store = store;
    this.stateMachine = stateMachine;
    this.loop = loop;
    this.diskExecutor = diskExecutor;
    this.outbound = outbound;
    this.onFailure = onFailure;
    this.clock = clock;
    this.snapshotLogBytes = snapshotLogBytes;
    this.status = core.status();
  }

  @Override
  public CompletionStage<Either<ConsensusError, Applied>> propose(byte[] command) {
    Proposal proposal = new Proposal(command, new CompletableFuture<>());
    proposals.add(proposal);
    if (proposalsScheduled.compareAndSet(false, true)) {
      run(this::handleProposals);
    }
    return proposal.future;
  }

  @Override
  public Leadership leadership() {
    RaftStatus now = status;
    return new Leadership(now.ready(), now.term(), now.leaderId().map(ReplicaId::vmOf));
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return status.confirmedAtMs();
  }

  @Override
  public CompletionStage<Either<ConsensusError, Applied>> replaceMember(
      String oldVm, String newVm, long timeoutMs) {
    CompletableFuture<Either<ConsensusError, Applied>> future = new CompletableFuture<>();
    run(
        () -> {
          Optional<String> refusal = core.replace(oldVm, newVm);
          if (refusal.isPresent()) {
            future.complete(Either.left(new ConsensusError.ChangeRefused(refusal.get())));
          } else {
            replacements.add(
                new PendingReplacement(
                    oldVm, newVm, core.status().term(), clock.millis() + timeoutMs, future));
          }
        });
    return future;
  }

  @Override
  public GroupStatus status() {
    RaftStatus now = status;
    return new GroupStatus(
        group,
        now.identity(),
        now.role().name(),
        now.ready(),
        now.term(),
        now.leaderId().map(ReplicaId::vmOf),
        now.confirmedAtMs(),
        now.commitIndex(),
        now.appliedIndex(),
        now.lastIndex(),
        now.logBytes(),
        now.snapshotBytes(),
        now.membership().voters(),
        now.learners(),
        now.failure());
  }

  /** Handles the passage of time. */
  void tick() {
    run(core::tick);
  }

  /**
   * Handles messages in order.
   *
   * @param envelopes messages in order
   */
  void receive(List<Envelope> envelopes) {
    run(() -> envelopes.forEach(core::receive));
  }

  /** Completes all calls in progress. To be called once, when nothing runs any more. */
  void abandon() {
    pending.values().forEach(Replica::completeUnknown);
    pending.clear();
    proposals.forEach(
        proposal ->
            proposal.future.complete(Either.left(new ConsensusError.NotLeader(Optional.empty()))));
    proposals.clear();
    replacements.forEach(
        next -> next.future.complete(Either.left(new ConsensusError.OutcomeUnknown())));
    replacements.clear();
  }

  private void run(Runnable input) {
    loop.execute(
        () -> {
          try {
            input.run();
            handleOutputs();
          } catch (RuntimeException e) {
            fail("internal error: ", e);
            status = core.status();
            completePending();
          }
        });
  }

  private void handleProposals() {
    proposalsScheduled.set(false);
    List<Proposal> batch = new ArrayList<>();
    for (Proposal next = proposals.poll(); next != null; next = proposals.poll()) {
      batch.add(next);
    }
    OptionalLong first = core.propose(batch.stream().map(Proposal::command).toList());
    if (first.isPresent()) {
      long term = core.status().term();
      for (int i = 0; i < batch.size(); i++) {
        pending.put(first.getAsLong() + i, new Pending(term, batch.get(i).future));
      }
    } else {
      ConsensusError error = refusal(core.status());
      batch.forEach(proposal -> proposal.future.complete(Either.left(error)));
    }
  }

  private static ConsensusError refusal(RaftStatus now) {
    if (now.role() == Role.FAILED) {
      return new ConsensusError.StorageFailed(now.failure().orElse("unknown cause"));
    }
    if (now.ready()) {
      return new ConsensusError.Overloaded();
    }
    return new ConsensusError.NotLeader(
        now.leaderId().filter(leader -> !leader.equals(now.identity())).map(ReplicaId::vmOf));
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
    status = core.status();
    if (appliedBytes >= Math.max(snapshotLogBytes, status.snapshotBytes())
        && status.role() != Role.FAILED) {
      core.compact(stateMachine.snapshot());
      appliedBytes = 0;
    }
    completePending();
    List<Envelope> messages = core.takeMessages();
    if (!messages.isEmpty()) {
      outbound.accept(messages);
    }
    startWrite();
  }

  private void apply(LogEntry entry) {
    byte[] result =
        entry.kind() == LogEntry.Kind.COMMAND
            ? stateMachine.apply(entry.index(), entry.data())
            : new byte[0];
    core.applied(entry.index());
    appliedBytes += entry.sizeBytes();
    Pending proposer = pending.remove(entry.index());
    if (proposer != null) {
      if (proposer.term == entry.term()) {
        proposer.future.complete(Either.right(new Applied(entry.index(), result)));
      } else {
        completeUnknown(proposer);
      }
    }
  }

  /** Completes the calls that depend on a leadership that has ended. */
  private void completePending() {
    RaftStatus now = status;
    if (!pending.isEmpty()
        && (now.role() != Role.LEADER || pending.firstEntry().getValue().term != now.term())) {
      pending.values().forEach(Replica::completeUnknown);
      pending.clear();
    }
    replacements.removeIf(next -> completeReplacement(next, now));
  }

  private boolean completeReplacement(PendingReplacement request, RaftStatus now) {
    if (core.isReplaced(request.oldVm, request.newVm)) {
      request.future.complete(Either.right(new Applied(now.commitIndex(), new byte[0])));
    } else if (now.role() != Role.LEADER || now.term() != request.term) {
      request.future.complete(Either.left(new ConsensusError.OutcomeUnknown()));
    } else if (clock.millis() >= request.deadlineMs) {
      core.cancelReplacement();
      request.future.complete(
          Either.left(
              new ConsensusError.ChangeRefused(
                  "VM " + request.newVm + " did not catch up in time; start it and retry")));
    } else {
      return false;
    }
    return true;
  }

  private void startWrite() {
    if (writing) {
      return;
    }
    RecordBatch batch = core.takeRecords();
    if (batch.records().isEmpty()) {
      return;
    }
    writing = true;
    diskExecutor.execute(
        () -> {
          Optional<Exception> error = write(batch);
          run(() -> onWritten(batch, error));
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
    if (error.isPresent()) {
      // What is on disk is unknown from here on, so nothing is written or promised any more.
      fail("", error.get());
    } else {
      writing = false;
      core.synced(batch.sequence());
    }
  }

  private void fail(String prefix, Exception cause) {
    core.fail(prefix + cause);
    onFailure.accept(cause);
  }

  private static void completeUnknown(Pending proposer) {
    proposer.future.complete(Either.left(new ConsensusError.OutcomeUnknown()));
  }

  private record Proposal(
      byte[] command, CompletableFuture<Either<ConsensusError, Applied>> future) {}

  private record Pending(long term, CompletableFuture<Either<ConsensusError, Applied>> future) {}

  private record PendingReplacement(
      String oldVm,
      String newVm,
      long term,
      long deadlineMs,
      CompletableFuture<Either<ConsensusError, Applied>> future) {}
}
