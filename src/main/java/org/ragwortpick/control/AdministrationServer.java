package org.ragwortpick.control;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.peer.LargeMessages;
import org.ragwortpick.proto.AdministrationApiGrpc;
import org.ragwortpick.proto.AdministrationCall;
import org.ragwortpick.proto.AdministrationFailure;
import org.ragwortpick.proto.AdministrationReply;
import org.ragwortpick.proto.AnswerKind;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.routing.RoutingConfiguration;

/** gRPC service for operator requests that other VMs forward to the leader. */
public final class AdministrationServer extends AdministrationApiGrpc.AdministrationApiImplBase {

  private final Administration administration;
  private final Function<String, Optional<HostPort>> peerAddressOf;

  /**
   * Creates the server.
   *
   * @param administration administration on the local replica
   * @param peerAddressOf finds the peer address of a control VM by its name
   */
  public AdministrationServer(
      Administration administration, Function<String, Optional<HostPort>> peerAddressOf) {
    this.administration = administration;
    this.peerAddressOf = peerAddressOf;
  }

  @Override
  public void execute(AdministrationCall call, StreamObserver<AdministrationReply> observer) {
    handle(call)
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                observer.onError(Status.INTERNAL.withCause(failure).asRuntimeException());
              } else {
                LargeMessages.compressReply(observer, reply);
                observer.onNext(reply);
                observer.onCompleted();
              }
            });
  }

  private CompletionStage<AdministrationReply> handle(AdministrationCall call) {
    long timeoutMs = call.getTimeoutMs();
    return switch (call.getOperationCase()) {
      case PROPOSE ->
          administration
              .propose(ControlCodec.decode(call.getPropose()), timeoutMs)
              .thenApply(this::toReply);
      case TAKE_OUT ->
          administration
              .takeOut(ControlCodec.decode(call.getTakeOut()), timeoutMs)
              .thenApply(this::toReply);
      case RETURN_TO_SERVICE ->
          administration
              .returnToService(ControlCodec.decode(call.getReturnToService()), timeoutMs)
              .thenApply(this::toReply);
      case REPLACE_ROUTING ->
          administration
              .replaceRouting(
                  RoutingConfiguration.decode(call.getReplaceRouting().getRouting()), timeoutMs)
              .thenApply(this::toReply);
      case START_ROLLOUT ->
          administration
              .startRollout(ControlCodec.decode(call.getStartRollout()), timeoutMs)
              .thenApply(this::toReply);
      default -> administration.read(timeoutMs).thenApply(this::toReadReply);
    };
  }

  private AdministrationReply toReply(Either<AdministrationError, AcceptedChange> result) {
    return result.fold(
        this::toErrorReply,
        accepted ->
            answerReply(
                AnswerMessage.newBuilder()
                    .setKind(AnswerKind.ANSWER_KIND_ACCEPTED)
                    .setRevision(accepted.revision())
                    .setDataCentreState(accepted.state().map(Enum::name).orElse(""))
                    .addAllUnplaced(accepted.unplaced())));
  }

  private AdministrationReply toReadReply(Either<AdministrationError, ConfigurationVersion> read) {
    return read.fold(
        this::toErrorReply,
        version ->
            AdministrationReply.newBuilder()
                .setRevision(version.revision())
                .putAllDocuments(version.documents())
                .build());
  }

  private AdministrationReply toErrorReply(AdministrationError error) {
    if (error instanceof AdministrationError.NotLeader notLeader) {
      AdministrationReply.Builder reply =
          AdministrationReply.newBuilder()
              .setFailure(AdministrationFailure.ADMINISTRATION_FAILURE_NOT_LEADER);
      notLeader
          .leaderVm()
          .flatMap(peerAddressOf)
          .ifPresent(address -> reply.setLeaderAddress(address.toString()));
      return reply.build();
    }
    if (error instanceof AdministrationError.Conflict conflict) {
      return answerReply(
          AnswerMessage.newBuilder()
              .setKind(AnswerKind.ANSWER_KIND_CONFLICT)
              .setRevision(conflict.currentRevision()));
    }
    if (error instanceof AdministrationError.Invalid invalid) {
      return answerReply(
          AnswerMessage.newBuilder()
              .setKind(AnswerKind.ANSWER_KIND_INVALID)
              .addAllFindings(invalid.findings()));
    }
    if (error instanceof AdministrationError.RolloutRunning running) {
      return answerReply(
          AnswerMessage.newBuilder()
              .setKind(AnswerKind.ANSWER_KIND_ROLLOUT_RUNNING)
              .addFindings(running.to()));
    }
    if (error instanceof AdministrationError.RequestIdReused) {
      return answerReply(
          AnswerMessage.newBuilder().setKind(AnswerKind.ANSWER_KIND_REQUEST_ID_REUSED));
    }
    return AdministrationReply.newBuilder()
        .setFailure(AdministrationFailure.ADMINISTRATION_FAILURE_OUTCOME_UNKNOWN)
        .build();
  }

  private static AdministrationReply answerReply(AnswerMessage.Builder answer) {
    return AdministrationReply.newBuilder().setAnswer(answer).build();
  }
}
