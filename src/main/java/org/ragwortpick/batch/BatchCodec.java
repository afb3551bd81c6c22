package org.ragwortpick.batch;

import org.ragwortpick.proto.PieceFailure;
import org.ragwortpick.proto.SubmitPiecesReply;
import org.ragwortpick.proto.SubmitPiecesRequest;

/** Messages between the VMs that submit pieces and the VM that gathers them. */
final class BatchCodec {

  private BatchCodec() {}

  /**
   * Encodes the pieces of a stage.
   *
   * @param work the pieces
   * @return the message
   */
  static SubmitPiecesRequest encode(StageWork work) {
    return SubmitPiecesRequest.newBuilder()
        .setService(work.service())
        .setRequestId(work.requestId())
        .setStage(work.stage())
        .setPieceCount(work.pieceCount())
        .setKey(work.key())
        .addAllInputs(work.inputs())
        .setResultBytes(work.resultBytes())
        .setRemainingMs(work.remainingMs())
        .setTargetRemainingMs(work.targetRemainingMs())
        .setPriority(work.priority())
        .build();
  }

  /**
   * Decodes the pieces of a stage.
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
        request.getInputsList(),
        request.getResultBytes(),
        request.getRemainingMs(),
        request.getTargetRemainingMs(),
        request.getPriority());
  }

  /**
   * Encodes the end of a stage.
   *
   * @param end the end
   * @param waitMs time in milliseconds that a piece of this rank would wait now
   * @return the message
   */
  static SubmitPiecesReply encode(SubmissionEnd end, long waitMs) {
    if (end instanceof SubmissionEnd.Produced produced) {
      return SubmitPiecesReply.newBuilder()
          .addAllHandles(produced.handles())
          .setWaitMs(waitMs)
          .build();
    }
    PieceFailure failure =
        switch (((SubmissionEnd.Failed) end).cause()) {
          case LATE -> PieceFailure.PIECE_FAILURE_LATE;
          case INPUT_GONE -> PieceFailure.PIECE_FAILURE_INPUT_GONE;
          case OVERLOADED -> PieceFailure.PIECE_FAILURE_OVERLOADED;
          case UNAVAILABLE -> PieceFailure.PIECE_FAILURE_UNAVAILABLE;
          default -> PieceFailure.PIECE_FAILURE_FAILED;
        };
    return SubmitPiecesReply.newBuilder().setFailure(failure).setWaitMs(waitMs).build();
  }

  /**
   * Decodes the end of a stage.
   *
   * @param reply the message
   * @return the end
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
