package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.ragwortpick.consensus.AppliedEntry;
import org.ragwortpick.consensus.ConsensusError;
import org.ragwortpick.consensus.ConsensusGroup;
import org.ragwortpick.consensus.GroupStatus;
import org.ragwortpick.consensus.Leadership;
import org.ragwortpick.consensus.StateMachine;

/** Consensus group that applies each command immediately, or rejects it unless it is the leader. */
public final class DirectGroup implements ConsensusGroup {

  private final StateMachine machine;
  private final Clock clock;
  private volatile Leadership leadership = new Leadership(true, 1, Optional.empty());
  private volatile long confirmationAgeMs;
  private long index;

  public DirectGroup(StateMachine machine, Clock clock) {
    this.machine = machine;
    this.clock = clock;
  }

  public void setLeadership(boolean leader, long term, String leaderVm) {
    leadership = new Leadership(leader, term, Optional.ofNullable(leaderVm));
  }

  public void setConfirmationAgeMs(long ageMs) {
    confirmationAgeMs = ageMs;
  }

  @Override
  public synchronized CompletionStage<Either<ConsensusError, AppliedEntry>> propose(
      byte[] command) {
    if (!leadership.leader()) {
      return CompletableFuture.completedFuture(
          Either.left(new ConsensusError.NotLeader(leadership.leaderVm())));
    }
    index++;
    return CompletableFuture.completedFuture(
        Either.right(new AppliedEntry(index, machine.apply(index, command))));
  }

  @Override
  public Leadership leadership() {
    return leadership;
  }

  @Override
  public OptionalLong confirmedAtMs() {
    return leadership.leader()
        ? OptionalLong.of(clock.millis() - confirmationAgeMs)
        : OptionalLong.empty();
  }

  @Override
  public CompletionStage<Either<ConsensusError, AppliedEntry>> replaceMember(
      String oldVm, String newVm, long timeoutMs) {
    throw new UnsupportedOperationException("a group of one replica has no member to replace");
  }

  @Override
  public GroupStatus status() {
    throw new UnsupportedOperationException("a group without a Raft replica has no status");
  }
}
