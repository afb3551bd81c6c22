package org.ragwortpick.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.consensus.AppliedEntry;
import org.ragwortpick.consensus.ConsensusError;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.proto.LedgerCall;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.LedgerFailure;
import org.ragwortpick.proto.LedgerGrpc;
import org.ragwortpick.proto.LedgerReply;

/** gRPC service for the execution records of the groups whose leader is the local replica. */
public final class LedgerServer extends LedgerGrpc.LedgerImplBase {

  private final Map<String, ServedGroup> servedGroups = new HashMap<>();
  private final Clock monotonicClock;
  private final Clock wallClock;

  /**
   * Random id of the monotonic clock of this process. Monotonic clocks of different processes have
   * different origins, so only times with the same id are compared. 0 is reserved for commands
   * without a stamp.
   */
  private final long clockId = new SecureRandom().nextLong() | 1;

  private final Function<String, Optional<HostPort>> peerAddressOf;

  /**
   * Creates the server of one VM.
   *
   * @param groups local replicas
   * @param monotonicClock clock of the leader confirmations of the groups
   * @param wallClock clock for the time stamps of commands
   * @param scheduler executor of the waits for the lease
   * @param peerAddressOf returns the peer address of a control VM by VM name
   */
  public LedgerServer(
      List<LedgerGroup> groups,
      Clock monotonicClock,
      Clock wallClock,
      ScheduledExecutorService scheduler,
      Function<String, Optional<HostPort>> peerAddressOf) {
    for (LedgerGroup group : groups) {
      LeaderLease lease = new LeaderLease(group.consensus(), monotonicClock, scheduler);
      servedGroups.put(group.name(), new ServedGroup(group, lease));
    }
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.peerAddressOf = peerAddressOf;
  }

  @Override
  public void execute(LedgerCall call, StreamObserver<LedgerReply> observer) {
    CompletionStage<LedgerReply> pendingReply;
    try {
      pendingReply = handle(call);
    } catch (IllegalArgumentException e) {
      observer.onError(
          Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
      return;
    }
    pendingReply.whenComplete(
        (reply, failure) -> {
          if (failure != null) {
            observer.onError(Status.INTERNAL.withCause(failure).asRuntimeException());
          } else {
            observer.onNext(reply);
            observer.onCompleted();
          }
        });
  }

  /**
   * Handles a call.
   *
   * @param call the call
   * @return the reply
   * @throws IllegalArgumentException if the call cannot be decoded
   */
  CompletionStage<LedgerReply> handle(LedgerCall call) {
    ServedGroup served = servedGroups.get(call.getGroup());
    if (served == null) {
      return completedFailure(LedgerFailure.LEDGER_FAILURE_UNKNOWN_GROUP);
    }
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setTimeMs(wallClock.millis())
            .setClockId(clockId)
            .setMonotonicMs(monotonicClock.millis());
    return switch (call.getOperationCase()) {
      case BEGIN -> {
        requireAttemptId(LedgerCodec.decode(call.getBegin()).attemptId());
        yield propose(served, command.setBegin(call.getBegin()).build());
      }
      case FINISH -> {
        requireAttemptId(LedgerCodec.decode(call.getFinish()).attemptId());
        yield propose(served, command.setFinish(call.getFinish()).build());
      }
      case STATUS ->
          served
              .lease()
              .await(call.getTimeoutMs())
              .thenApply(held -> status(served, LedgerCodec.decode(call.getStatus().getKey())));
      default -> completedFailure(LedgerFailure.LEDGER_FAILURE_UNKNOWN_GROUP);
    };
  }

  /**
   * Rejects a call without an attempt id. The argument is decoded before the proposal, because a
   * command that cannot be decoded would stop all replicas once it is in the log.
   */
  private static void requireAttemptId(String attemptId) {
    if (attemptId.isEmpty()) {
      throw new IllegalArgumentException("attempt id is empty; use a new id for each attempt");
    }
  }

  private LedgerReply status(ServedGroup served, ExecutionKey key) {
    LedgerReply.Builder reply = LedgerReply.newBuilder();
    served
        .group()
        .stateMachine()
        .status(key)
        .ifPresent(record -> reply.setRecord(LedgerCodec.encode(record)));
    // Checked after the read, because a process that was suspended may have lost its lease.
    return served.lease().isHeld() ? reply.build() : notLeaderReply(served);
  }

  private CompletionStage<LedgerReply> propose(ServedGroup served, LedgerCommand command) {
    return served
        .group()
        .consensus()
        .propose(command.toByteArray())
        .thenApply(result -> result.fold(error -> errorReply(served, error), LedgerServer::decode));
  }

  private LedgerReply errorReply(ServedGroup served, ConsensusError error) {
    if (error instanceof ConsensusError.OutcomeUnknown) {
      return failureReply(LedgerFailure.LEDGER_FAILURE_OUTCOME_UNKNOWN);
    }
    return notLeaderReply(served);
  }

  private LedgerReply notLeaderReply(ServedGroup served) {
    LedgerReply.Builder reply =
        LedgerReply.newBuilder().setFailure(LedgerFailure.LEDGER_FAILURE_NOT_LEADER);
    served
        .group()
        .consensus()
        .leadership()
        .leaderVm()
        .flatMap(peerAddressOf)
        .ifPresent(address -> reply.setLeaderAddress(address.toString()));
    return reply.build();
  }

  private static LedgerReply decode(AppliedEntry applied) {
    try {
      return LedgerReply.parseFrom(applied.result());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the result of a ledger command cannot be decoded", e);
    }
  }

  private static CompletionStage<LedgerReply> completedFailure(LedgerFailure failure) {
    return CompletableFuture.completedFuture(failureReply(failure));
  }

  private static LedgerReply failureReply(LedgerFailure failure) {
    return LedgerReply.newBuilder().setFailure(failure).build();
  }

  private record ServedGroup(LedgerGroup group, LeaderLease lease) {}
}
