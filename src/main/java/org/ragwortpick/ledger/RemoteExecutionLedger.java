package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.control.leader.LeaderCalls;
import org.ragwortpick.control.leader.Redirect;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.LedgerCall;
import org.ragwortpick.proto.LedgerGrpc;
import org.ragwortpick.proto.LedgerReply;
import org.ragwortpick.proto.StatusOperation;

/** Client of the execution records, which calls the leader of the group of each key. */
public final class RemoteExecutionLedger implements ExecutionLedger {

  private final List<String> groupNames;
  private final List<LeaderCalls<LedgerCall, LedgerReply>> groupClients;

  /**
   * Creates the client.
   *
   * @param channels channels to the peers
   * @param controlAddresses peer addresses of the control VMs, at least one
   * @param groupNames names of the groups, as given by {@link LedgerGroups#names}
   * @param monotonicClock clock for timeouts
   * @param scheduler executor of the retries
   */
  public RemoteExecutionLedger(
      PeerChannels channels,
      List<HostPort> controlAddresses,
      List<String> groupNames,
      Clock monotonicClock,
      ScheduledExecutorService scheduler) {
    this.groupNames = List.copyOf(groupNames);
    this.groupClients =
        groupNames.stream()
            .map(
                name ->
                    new LeaderCalls<>(
                        channels,
                        () -> controlAddresses,
                        LedgerGrpc.getExecuteMethod(),
                        RemoteExecutionLedger::redirectOf,
                        monotonicClock,
                        scheduler))
            .toList();
  }

  private static Optional<Redirect> redirectOf(LedgerReply reply) {
    return switch (reply.getFailure()) {
      case LEDGER_FAILURE_NOT_LEADER, LEDGER_FAILURE_OUTCOME_UNKNOWN ->
          Optional.of(Redirect.to(reply.getLeaderAddress()));
      default -> Optional.empty();
    };
  }

  @Override
  public CompletionStage<Either<LedgerError, BeginResult>> begin(
      BeginRequest request, long timeoutMs) {
    LedgerCall.Builder call = LedgerCall.newBuilder().setBegin(LedgerCodec.encode(request));
    return call(request.key(), call, timeoutMs)
        .thenApply(reply -> reply.flatMap(LedgerCodec::decodeBegin));
  }

  @Override
  public CompletionStage<Either<LedgerError, ExecutionRecord>> finish(
      FinishRequest request, long timeoutMs) {
    LedgerCall.Builder call = LedgerCall.newBuilder().setFinish(LedgerCodec.encode(request));
    return call(request.key(), call, timeoutMs)
        .thenApply(
            reply ->
                reply
                    .flatMap(LedgerCodec::decodeRecord)
                    .flatMap(
                        record ->
                            record
                                .<Either<LedgerError, ExecutionRecord>>map(Either::right)
                                .orElseGet(() -> Either.left(new LedgerError.Unreachable()))));
  }

  @Override
  public CompletionStage<Either<LedgerError, Optional<ExecutionRecord>>> status(
      ExecutionKey key, long timeoutMs) {
    LedgerCall.Builder call =
        LedgerCall.newBuilder()
            .setStatus(StatusOperation.newBuilder().setKey(LedgerCodec.encode(key)));
    return call(key, call, timeoutMs).thenApply(reply -> reply.flatMap(LedgerCodec::decodeRecord));
  }

  private CompletionStage<Either<LedgerError, LedgerReply>> call(
      ExecutionKey key, LedgerCall.Builder call, long timeoutMs) {
    int group = LedgerGroups.indexOf(key.workspace(), groupClients.size());
    call.setGroup(groupNames.get(group)).setTimeoutMs(timeoutMs);
    return groupClients
        .get(group)
        .call(call.build(), timeoutMs)
        .thenApply(
            reply ->
                reply
                    .<Either<LedgerError, LedgerReply>>map(Either::right)
                    .orElseGet(() -> Either.left(new LedgerError.Unreachable())));
  }
}
