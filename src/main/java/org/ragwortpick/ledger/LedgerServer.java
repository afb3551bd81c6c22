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
import org.ragwortpick.consensus.Applied;
import org.ragwortpick.consensus.ConsensusError;
import org.ragwortpick.control.leader.LeaderLease;
import org.ragwortpick.proto.LedgerCall;
import org.ragwortpick.proto.LedgerCommand;
import org.ragwortpick.proto.LedgerFailure;
import org.ragwortpick.proto.LedgerGrpc;
import org.ragwortpick.proto.LedgerReply;

/** Serves the execution records of the groups that the local replica leads. */
public final class LedgerServer extends LedgerGrpc.LedgerImplBase {

  private final Map<String, Member> members = new HashMap<>();
  private final Clock monotonicClock;
  private final Clock wallClock;

  /** Tells apart the monotonic clocks of processes, which have different origins. */
  private final long clockId = new SecureRandom().nextLong() | 1;

  private final Function<String, Optional<HostPort>> peerAddressOf;

  /**
   * Creates the server of one VM.
   *
   * @param groups local replicas
   * @param monotonicClock the clock by which the groups state their confirmations
   * @param wallClock clock that is stamped into commands
   * @param scheduler runs the waiting for the lease
   * @param peerAddressOf finds the peer address of a control VM by its name
   */
  public LedgerServer(
      List<LedgerGroup> groups,
      Clock monotonicClock,
      Clock wallClock,
      ScheduledExecutorService scheduler,
      Function<String, Optional<HostPort>> peerAddressOf) {
    for (LedgerGroup group : groups) {
      LeaderLease lease = new LeaderLease(group.consensus(), monotonicClock, scheduler);
      members.put(group.name(), new Member(group, lease));
    }
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
    this.peerAddressOf = peerAddressOf;
  }

  @Override
  public void execute(LedgerCall call, StreamObserver<LedgerReply> observer) {
    CompletionStage<LedgerReply> handled;
    try {
      handled = handle(call);
    } catch (IllegalArgumentException e) {
      observer.onError(
          Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
      return;
    }
    handled.whenComplete(
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
    Member member = members.get(call.getGroup());
    if (member == null) {
      return answer(LedgerFailure.LEDGER_FAILURE_UNKNOWN_GROUP);
    }
    LedgerCommand.Builder command =
        LedgerCommand.newBuilder()
            .setTimeMs(wallClock.millis())
            .setClockId(clockId)
            .setMonotonicMs(monotonicClock.millis());
    return switch (call.getOperationCase()) {
      case BEGIN -> {
        requireAttempt(LedgerCodec.decode(call.getBegin()).attemptId());
        yield propose(member, command.setBegin(call.getBegin()).build());
      }
      case FINISH -> {
        requireAttempt(LedgerCodec.decode(call.getFinish()).attemptId());
        yield propose(member, command.setFinish(call.getFinish()).build());
      }
      case STATUS ->
          member
              .lease()
              .await(call.getTimeoutMs())
              .thenApply(held -> status(member, LedgerCodec.decode(call.getStatus().getKey())));
      default -> answer(LedgerFailure.LEDGER_FAILURE_UNKNOWN_GROUP);
    };
  }

  /** A command that cannot be decoded must not reach the log, where it would stop all replicas. */
  private static void requireAttempt(String attemptId) {
    if (attemptId.isEmpty()) {
      throw new IllegalArgumentException("the attempt id is empty; give each attempt a new id");
    }
  }

  private LedgerReply status(Member member, ExecutionKey key) {
    LedgerReply.Builder reply = LedgerReply.newBuilder();
    member
        .group()
        .machine()
        .status(key)
        .ifPresent(record -> reply.setRecord(LedgerCodec.encode(record)));
    // Checked after the read: a process that was frozen before the read may have lost the lead.
    return member.lease().isHeld() ? reply.build() : notLeader(member);
  }

  private CompletionStage<LedgerReply> propose(Member member, LedgerCommand command) {
    return member
        .group()
        .consensus()
        .propose(command.toByteArray())
        .thenApply(result -> result.fold(error -> refuse(member, error), LedgerServer::decode));
  }

  private LedgerReply refuse(Member member, ConsensusError error) {
    if (error instanceof ConsensusError.OutcomeUnknown) {
      return failure(LedgerFailure.LEDGER_FAILURE_OUTCOME_UNKNOWN);
    }
    return notLeader(member);
  }

  private LedgerReply notLeader(Member member) {
    LedgerReply.Builder reply =
        LedgerReply.newBuilder().setFailure(LedgerFailure.LEDGER_FAILURE_NOT_LEADER);
    member
        .group()
        .consensus()
        .leadership()
        .leaderVm()
        .flatMap(peerAddressOf)
        .ifPresent(address -> reply.setLeaderAddress(address.toString()));
    return reply.build();
  }

  private static LedgerReply decode(Applied applied) {
    try {
      return LedgerReply.parseFrom(applied.result());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("the result of a ledger command cannot be decoded", e);
    }
  }

  private static CompletionStage<LedgerReply> answer(LedgerFailure failure) {
    return CompletableFuture.completedFuture(failure(failure));
  }

  private static LedgerReply failure(LedgerFailure failure) {
    return LedgerReply.newBuilder().setFailure(failure).build();
  }

  private record Member(LedgerGroup group, LeaderLease lease) {}
}
