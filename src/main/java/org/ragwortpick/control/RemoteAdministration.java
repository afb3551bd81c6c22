package org.ragwortpick.control;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.control.leader.LeaderCalls;
import org.ragwortpick.control.leader.Redirect;
import org.ragwortpick.peer.PeerChannels;
import org.ragwortpick.proto.AdministrationApiGrpc;
import org.ragwortpick.proto.AdministrationCall;
import org.ragwortpick.proto.AdministrationReply;
import org.ragwortpick.proto.ReadOperation;
import org.ragwortpick.proto.ReplaceRoutingOperation;
import org.ragwortpick.routing.RoutingConfiguration;

/** Forwards operator requests from any VM to the leader of the group {@code config}. */
public final class RemoteAdministration implements Administration {

  private final LeaderCalls<AdministrationCall, AdministrationReply> calls;

  /**
   * Creates the client.
   *
   * @param channels channels to the peers
   * @param controlAddresses peer addresses of the control VMs, at least one
   * @param monotonicClock clock for timeouts
   * @param scheduler runs retries
   */
  public RemoteAdministration(
      PeerChannels channels,
      Supplier<List<HostPort>> controlAddresses,
      Clock monotonicClock,
      ScheduledExecutorService scheduler) {
    this.calls =
        new LeaderCalls<>(
            channels,
            controlAddresses,
            AdministrationApiGrpc.getExecuteMethod(),
            RemoteAdministration::redirectOf,
            monotonicClock,
            scheduler);
  }

  private static Optional<Redirect> redirectOf(AdministrationReply reply) {
    return switch (reply.getFailure()) {
      case ADMINISTRATION_FAILURE_NOT_LEADER, ADMINISTRATION_FAILURE_OUTCOME_UNKNOWN ->
          Optional.of(Redirect.to(reply.getLeaderAddress()));
      default -> Optional.empty();
    };
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> propose(
      ProposeRequest request, long timeoutMs) {
    return change(
        AdministrationCall.newBuilder().setPropose(ControlCodec.encode(request)), timeoutMs);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> replaceRouting(
      RoutingConfiguration routing, long timeoutMs) {
    return change(
        AdministrationCall.newBuilder()
            .setReplaceRouting(ReplaceRoutingOperation.newBuilder().setRouting(routing.encode())),
        timeoutMs);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> takeOut(
      TakeOutRequest request, long timeoutMs) {
    return change(
        AdministrationCall.newBuilder().setTakeOut(ControlCodec.encode(request)), timeoutMs);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> returnToService(
      ReturnRequest request, long timeoutMs) {
    return change(
        AdministrationCall.newBuilder().setReturnToService(ControlCodec.encode(request)),
        timeoutMs);
  }

  @Override
  public CompletionStage<Either<AdministrationError, AcceptedChange>> startRollout(
      StartRolloutRequest request, long timeoutMs) {
    return change(
        AdministrationCall.newBuilder().setStartRollout(ControlCodec.encode(request)), timeoutMs);
  }

  @Override
  public CompletionStage<Either<AdministrationError, ConfigurationVersion>> read(long timeoutMs) {
    return call(
            AdministrationCall.newBuilder().setRead(ReadOperation.getDefaultInstance()), timeoutMs)
        .thenApply(
            result ->
                result.map(
                    reply ->
                        new ConfigurationVersion(
                            reply.getRevision(), new TreeMap<>(reply.getDocumentsMap()))));
  }

  private CompletionStage<Either<AdministrationError, AcceptedChange>> change(
      AdministrationCall.Builder call, long timeoutMs) {
    return call(call, timeoutMs)
        .thenApply(result -> result.flatMap(reply -> ControlCodec.decode(reply.getAnswer())));
  }

  private CompletionStage<Either<AdministrationError, AdministrationReply>> call(
      AdministrationCall.Builder call, long timeoutMs) {
    return calls
        .call(call.setTimeoutMs(timeoutMs).build(), timeoutMs)
        .thenApply(
            reply ->
                reply
                    .<Either<AdministrationError, AdministrationReply>>map(Either::right)
                    .orElseGet(() -> Either.left(new AdministrationError.OutcomeUnknown())));
  }
}
