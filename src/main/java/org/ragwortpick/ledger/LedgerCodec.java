package org.ragwortpick.ledger;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.proto.BeginOperation;
import org.ragwortpick.proto.FinishOperation;
import org.ragwortpick.proto.KeyMessage;
import org.ragwortpick.proto.LedgerFailure;
import org.ragwortpick.proto.LedgerReply;
import org.ragwortpick.proto.RecordMessage;
import org.ragwortpick.proto.RecordState;

/** Converts between the types of this package and the messages of {@code ledger.proto}. */
final class LedgerCodec {

  private static final String STATE_PREFIX = "RECORD_STATE_";

  private LedgerCodec() {}

  /**
   * Encodes a key.
   *
   * @param key the key
   * @return the message
   */
  static KeyMessage encode(ExecutionKey key) {
    return KeyMessage.newBuilder()
        .setWorkspace(key.workspace())
        .setIdempotencyKey(key.idempotencyKey())
        .build();
  }

  /**
   * Decodes a key.
   *
   * @param message the message
   * @return the key
   */
  static ExecutionKey decode(KeyMessage message) {
    return new ExecutionKey(message.getWorkspace(), message.getIdempotencyKey());
  }

  /**
   * Encodes a request to begin.
   *
   * @param request the request
   * @return the message
   */
  static BeginOperation encode(BeginRequest request) {
    BeginOperation.Builder message =
        BeginOperation.newBuilder()
            .setKey(encode(request.key()))
            .setService(request.service())
            .setBodyDigest(request.bodyDigest())
            .setHolderVm(request.holderVm())
            .setAttemptId(request.attemptId())
            .setLeaseMs(request.leaseMs());
    request.keyCreatedAtMs().ifPresent(message::setKeyCreatedAtMs);
    request.afterAttemptId().ifPresent(message::setAfterAttemptId);
    return message.build();
  }

  /**
   * Decodes a request to begin.
   *
   * @param message the message
   * @return the request
   */
  static BeginRequest decode(BeginOperation message) {
    return new BeginRequest(
        decode(message.getKey()),
        message.getService(),
        message.getBodyDigest(),
        message.getHolderVm(),
        message.getAttemptId(),
        message.getLeaseMs(),
        message.hasKeyCreatedAtMs()
            ? OptionalLong.of(message.getKeyCreatedAtMs())
            : OptionalLong.empty(),
        Optional.of(message.getAfterAttemptId()).filter(id -> !id.isEmpty()));
  }

  /**
   * Encodes the outcome of an attempt.
   *
   * @param request the outcome
   * @return the message
   */
  static FinishOperation encode(FinishRequest request) {
    return FinishOperation.newBuilder()
        .setKey(encode(request.key()))
        .setAttemptId(request.attemptId())
        .setState(encode(request.state()))
        .setStatus(request.status())
        .setAnswer(request.responseBody())
        .build();
  }

  /**
   * Decodes the outcome of an attempt.
   *
   * @param message the message
   * @return the outcome
   */
  static FinishRequest decode(FinishOperation message) {
    return new FinishRequest(
        decode(message.getKey()),
        message.getAttemptId(),
        decode(message.getState()),
        message.getStatus(),
        message.getAnswer());
  }

  /**
   * Encodes a record.
   *
   * @param record the record
   * @return the message
   */
  static RecordMessage encode(ExecutionRecord record) {
    return RecordMessage.newBuilder()
        .setKey(encode(record.key()))
        .setState(encode(record.state()))
        .setService(record.service())
        .setBodyDigest(record.bodyDigest())
        .setHolderVm(record.holderVm())
        .setAttemptId(record.attemptId())
        .setStatus(record.status())
        .setAnswer(record.responseBody())
        .setUpdatedAtMs(record.updatedAtMs())
        .build();
  }

  /**
   * Decodes a record.
   *
   * @param message the message
   * @return the record
   */
  static ExecutionRecord decode(RecordMessage message) {
    return new ExecutionRecord(
        decode(message.getKey()),
        decode(message.getState()),
        message.getService(),
        message.getBodyDigest(),
        message.getHolderVm(),
        message.getAttemptId(),
        message.getStatus(),
        message.getAnswer(),
        message.getUpdatedAtMs());
  }

  /**
   * Encodes an error.
   *
   * @param error reason for the refusal
   * @return the reply
   */
  static LedgerReply encode(LedgerError error) {
    LedgerFailure failure;
    if (error instanceof LedgerError.KeyReused) {
      failure = LedgerFailure.LEDGER_FAILURE_KEY_REUSED;
    } else if (error instanceof LedgerError.KeyExpired) {
      failure = LedgerFailure.LEDGER_FAILURE_KEY_EXPIRED;
    } else if (error instanceof LedgerError.NotHolder) {
      failure = LedgerFailure.LEDGER_FAILURE_NOT_HOLDER;
    } else {
      failure = LedgerFailure.LEDGER_FAILURE_OUTCOME_UNKNOWN;
    }
    return LedgerReply.newBuilder().setFailure(failure).build();
  }

  /**
   * Decodes a reply to a begin.
   *
   * @param reply the reply
   * @return the decision, or the error
   */
  static Either<LedgerError, BeginResult> decodeBegin(LedgerReply reply) {
    return decodeFailure(reply)
        .<Either<LedgerError, BeginResult>>map(Either::left)
        .orElseGet(
            () ->
                Either.right(
                    new BeginResult(
                        reply.getGranted(), decode(reply.getRecord()), reply.getRecordAgeMs())));
  }

  /**
   * Decodes a reply to a finish or a status call.
   *
   * @param reply the reply
   * @return the record, empty if there is none, or the error
   */
  static Either<LedgerError, Optional<ExecutionRecord>> decodeRecord(LedgerReply reply) {
    return decodeFailure(reply)
        .<Either<LedgerError, Optional<ExecutionRecord>>>map(Either::left)
        .orElseGet(
            () ->
                Either.right(
                    reply.hasRecord() ? Optional.of(decode(reply.getRecord())) : Optional.empty()));
  }

  private static Optional<LedgerError> decodeFailure(LedgerReply reply) {
    return switch (reply.getFailure()) {
      case LEDGER_FAILURE_NONE -> Optional.empty();
      case LEDGER_FAILURE_KEY_REUSED -> Optional.of(new LedgerError.KeyReused());
      case LEDGER_FAILURE_KEY_EXPIRED -> Optional.of(new LedgerError.KeyExpired());
      case LEDGER_FAILURE_NOT_HOLDER -> Optional.of(new LedgerError.NotHolder());
      default -> Optional.of(new LedgerError.Unreachable());
    };
  }

  private static RecordState encode(ExecutionState state) {
    return RecordState.valueOf(STATE_PREFIX + state.name());
  }

  private static ExecutionState decode(RecordState state) {
    if (state == RecordState.UNRECOGNIZED) {
      throw new IllegalArgumentException(
          "the record state of a ledger message is unknown; update the control VMs before the entry"
              + " VMs");
    }
    return ExecutionState.valueOf(state.name().substring(STATE_PREFIX.length()));
  }
}
