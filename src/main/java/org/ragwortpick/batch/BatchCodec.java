package org.ragwortpick.batch;

import java.util.List;
import java.util.Optional;
import org.ragwortpick.policy.admission.StageBacklogs;
import org.ragwortpick.proto.PieceFailure;
import org.ragwortpick.proto.PieceInput;
import org.ragwortpick.proto.QueueWait;
import org.ragwortpick.proto.StageBacklog;
import org.ragwortpick.proto.SubmitPiecesReply;
import org.ragwortpick.proto.SubmitPiecesRequest;

/** Converts stage work and its outcome to and from the gRPC messages of the collector. */
final class BatchCodec {

  private BatchCodec() {}

  /**
   * Encodes the request that submits the pieces of a stage.
   *
   * @param work the pieces
   * @param viewAgeMs age of the local VM's view of the upstreams in milliseconds
   * @param backlogs backlogs that the local VM knows
   * @param nowMs monotonic time in milliseconds
   * @return the message
   */
  static SubmitPiecesRequest encode(
      StageWork work, long viewAgeMs, StageBacklogs backlogs, long nowMs) {
    SubmitPiecesRequest.Builder request =
        SubmitPiecesRequest.newBuilder()
            .setService(work.service())
            .setRequestId(work.requestId())
            .setStage(work.stage())
            .setPieceCount(work.pieceCount())
            .setKey(work.key())
            .addAllInputs(work.inputs().stream().map(BatchCodec::encode).toList())
            .setResultBytes(work.resultBytes())
            .setRemainingMs(work.remainingMs())
            .setTargetRemainingMs(work.targetRemainingMs())
            .setPriority(work.priority())
            .setDataCentre(work.dataCentre())
            .setResumed(work.resumed())
            .setViewAgeMs(viewAgeMs);
    work.path()
        .ifPresent(
            path ->
                request
                    .setPath(BacklogCodec.encode(path))
                    .addAllBacklogs(BacklogCodec.encode(backlogs.on(path), nowMs)));
    return request.build();
  }

  private static PieceInput encode(StageInput input) {
    return PieceInput.newBuilder()
        .setService(input.service())
        .setHandle(input.handle())
        .setExclusive(input.exclusive())
        .build();
  }

  private static StageInput decode(PieceInput input) {
    return new StageInput(input.getService(), input.getHandle(), input.getExclusive());
  }

  /**
   * Decodes a request that submits the pieces of a stage.
   *
   * @param request the message
   * @return the pieces
   */
  static StageWork decode(SubmitPiecesRequest request) {
    return new StageWork(
        request.getService(),
        request.getRequestId(),
        request.getStage(),
        request.getPieceCount(),
        request.getKey(),
        request.getInputsList().stream().map(BatchCodec::decode).toList(),
        request.getResultBytes(),
        request.getRemainingMs(),
        request.getTargetRemainingMs(),
        request.getPriority(),
        request.getDataCentre(),
        request.getResumed(),
        request.hasPath() ? Optional.of(BacklogCodec.decode(request.getPath())) : Optional.empty());
  }

  /**
   * Encodes the outcome of a stage.
   *
   * @param end the outcome
   * @param waits recent queue waits to pass on with the reply
   * @param backlogs backlogs to pass on with the reply
   * @return the message
   */
  static SubmitPiecesReply encode(
      SubmissionEnd end, List<QueueWait> waits, List<StageBacklog> backlogs) {
    if (end instanceof SubmissionEnd.Produced produced) {
      return SubmitPiecesReply.newBuilder()
          .addAllHandles(produced.handles())
          .addAllWaits(waits)
          .addAllBacklogs(backlogs)
          .build();
    }
    SubmissionEnd.Failed failed = (SubmissionEnd.Failed) end;
    PieceFailure failure =
        switch (failed.cause()) {
          case LATE -> PieceFailure.PIECE_FAILURE_LATE;
          case INPUT_GONE -> PieceFailure.PIECE_FAILURE_INPUT_GONE;
          case OVERLOADED -> PieceFailure.PIECE_FAILURE_OVERLOADED;
          case UNAVAILABLE -> PieceFailure.PIECE_FAILURE_UNAVAILABLE;
          default -> PieceFailure.PIECE_FAILURE_FAILED;
        };
    return SubmitPiecesReply.newBuilder()
        .setFailure(failure)
        .setWaitMs(failed.waitMs())
        .addAllWaits(waits)
        .addAllBacklogs(backlogs)
        .build();
  }

  /**
   * Decodes the outcome of a stage.
   *
   * @param reply the message
   * @return the outcome
   */
  static SubmissionEnd decode(SubmitPiecesReply reply) {
    return switch (reply.getFailure()) {
      case PIECE_FAILURE_NONE -> new SubmissionEnd.Produced(reply.getHandlesList());
      case PIECE_FAILURE_LATE -> failed(SubmissionEnd.Cause.LATE, reply);
      case PIECE_FAILURE_INPUT_GONE -> failed(SubmissionEnd.Cause.INPUT_GONE, reply);
      case PIECE_FAILURE_UNAVAILABLE -> failed(SubmissionEnd.Cause.UNAVAILABLE, reply);
      case PIECE_FAILURE_OVERLOADED -> failed(SubmissionEnd.Cause.OVERLOADED, reply);
      default -> failed(SubmissionEnd.Cause.FAILED, reply);
    };
  }

  private static SubmissionEnd failed(SubmissionEnd.Cause cause, SubmitPiecesReply reply) {
    return new SubmissionEnd.Failed(cause, reply.getWaitMs());
  }
}
