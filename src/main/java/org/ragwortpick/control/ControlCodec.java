package org.ragwortpick.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.protobuf.MessageLite;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.proto.AnswerMessage;
import org.ragwortpick.proto.OrderMessage;
import org.ragwortpick.proto.ProposeOperation;
import org.ragwortpick.proto.ReturnOperation;
import org.ragwortpick.proto.StartRolloutOperation;
import org.ragwortpick.proto.TakeOutOperation;

/** Conversion between the types of this package and {@code administration.proto}. */
final class ControlCodec {

  private static final String DIGEST_ALGORITHM = "SHA-256";

  private ControlCodec() {}

  /**
   * Encodes an order.
   *
   * @param order the order
   * @return the message
   */
  static OrderMessage encode(EngineOrder order) {
    return OrderMessage.newBuilder()
        .setOrderId(order.orderId())
        .setUpstreamId(order.upstreamId())
        .setAction(order.action().name())
        .setModel(order.model())
        .setVersion(order.version())
        .setAdapter(order.adapter())
        .setRole(order.role())
        .setTerm(order.term())
        .build();
  }

  /**
   * Decodes an order.
   *
   * @param message the message
   * @return the order
   */
  static EngineOrder decode(OrderMessage message) {
    return new EngineOrder(
        message.getOrderId(),
        message.getUpstreamId(),
        OrderAction.valueOf(message.getAction()),
        message.getModel(),
        message.getVersion(),
        message.getAdapter(),
        message.getRole(),
        message.getTerm());
  }

  /**
   * Encodes a proposal.
   *
   * @param request the proposal
   * @return the message
   */
  static ProposeOperation encode(ProposeRequest request) {
    ProposeOperation.Builder message =
        ProposeOperation.newBuilder()
            .setRequestId(request.requestId())
            .setBaseRevision(request.baseRevision());
    request.inventory().map(ControlCodec::toJson).ifPresent(message::setInventory);
    request.rules().map(ControlCodec::toJson).ifPresent(message::setRules);
    return message.build();
  }

  /**
   * Decodes a proposal.
   *
   * @param message the message
   * @return the proposal
   */
  static ProposeRequest decode(ProposeOperation message) {
    return new ProposeRequest(
        message.getRequestId(),
        message.getBaseRevision(),
        message.hasInventory()
            ? Optional.of(fromJson(message.getInventory(), Inventory.class))
            : Optional.empty(),
        message.hasRules()
            ? Optional.of(fromJson(message.getRules(), Rules.class))
            : Optional.empty());
  }

  /**
   * Encodes a request to take out a data centre.
   *
   * @param request the request
   * @return the message
   */
  static TakeOutOperation encode(TakeOutRequest request) {
    TakeOutOperation.Builder message =
        TakeOutOperation.newBuilder()
            .setRequestId(request.requestId())
            .setDataCentre(request.dataCentre())
            .setNow(request.now());
    request.baseRevision().ifPresent(message::setBaseRevision);
    return message.build();
  }

  /**
   * Decodes a request to take out a data centre.
   *
   * @param message the message
   * @return the request
   */
  static TakeOutRequest decode(TakeOutOperation message) {
    return new TakeOutRequest(
        message.getRequestId(),
        message.getDataCentre(),
        message.getNow(),
        message.hasBaseRevision()
            ? OptionalLong.of(message.getBaseRevision())
            : OptionalLong.empty());
  }

  /**
   * Encodes a request to return a data centre.
   *
   * @param request the request
   * @return the message
   */
  static ReturnOperation encode(ReturnRequest request) {
    ReturnOperation.Builder message =
        ReturnOperation.newBuilder()
            .setRequestId(request.requestId())
            .setDataCentre(request.dataCentre());
    request.baseRevision().ifPresent(message::setBaseRevision);
    return message.build();
  }

  /**
   * Decodes a request to return a data centre.
   *
   * @param message the message
   * @return the request
   */
  static ReturnRequest decode(ReturnOperation message) {
    return new ReturnRequest(
        message.getRequestId(),
        message.getDataCentre(),
        message.hasBaseRevision()
            ? OptionalLong.of(message.getBaseRevision())
            : OptionalLong.empty());
  }

  /**
   * Encodes an order to start a rollout.
   *
   * @param request the order
   * @return the message
   */
  static StartRolloutOperation encode(StartRolloutRequest request) {
    return StartRolloutOperation.newBuilder()
        .setService(request.service())
        .setTo(request.to())
        .setDurationMs(request.durationMs())
        .setBaseRevision(request.baseRevision())
        .build();
  }

  /**
   * Decodes an order to start a rollout.
   *
   * @param message the message
   * @return the order
   */
  static StartRolloutRequest decode(StartRolloutOperation message) {
    return new StartRolloutRequest(
        message.getService(), message.getTo(), message.getDurationMs(), message.getBaseRevision());
  }

  /**
   * Computes the digest of a request to take out a data centre. A resend may be based on a later
   * revision.
   *
   * @param request the request
   * @return hexadecimal digest
   */
  static String digest(TakeOutRequest request) {
    return digest(encode(request).toBuilder().clearBaseRevision().build());
  }

  /**
   * Computes the digest of a request to return a data centre. A resend may be based on a later
   * revision.
   *
   * @param request the request
   * @return hexadecimal digest
   */
  static String digest(ReturnRequest request) {
    return digest(encode(request).toBuilder().clearBaseRevision().build());
  }

  /**
   * Decodes an answer.
   *
   * @param answer the message
   * @return the accepted change, or the reason for the refusal
   */
  static Either<AdministrationError, AcceptedChange> decode(AnswerMessage answer) {
    return switch (answer.getKind()) {
      case ANSWER_KIND_ACCEPTED ->
          Either.right(
              new AcceptedChange(
                  answer.getRevision(),
                  Optional.of(answer.getDataCentreState())
                      .filter(state -> !state.isEmpty())
                      .map(DataCentreState::valueOf),
                  answer.getUnplacedList()));
      case ANSWER_KIND_CONFLICT ->
          Either.left(new AdministrationError.Conflict(answer.getRevision()));
      case ANSWER_KIND_INVALID ->
          Either.left(new AdministrationError.Invalid(answer.getFindingsList()));
      case ANSWER_KIND_ROLLOUT_RUNNING ->
          Either.left(
              new AdministrationError.RolloutRunning(String.join("", answer.getFindingsList())));
      case ANSWER_KIND_REQUEST_ID_REUSED -> Either.left(new AdministrationError.RequestIdReused());
      default -> Either.left(new AdministrationError.OutcomeUnknown());
    };
  }

  /**
   * Computes the digest that distinguishes a resend from a different request with the same id.
   *
   * @param request message of the request
   * @return hexadecimal digest
   * @throws IllegalStateException if the Java runtime lacks the digest
   */
  static String digest(MessageLite request) {
    try {
      MessageDigest digest = MessageDigest.getInstance(DIGEST_ALGORITHM);
      digest.update(request.getClass().getSimpleName().getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest.digest(request.toByteArray()));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          DIGEST_ALGORITHM + " is missing; use a complete Java runtime", e);
    }
  }

  private static String toJson(Object value) {
    try {
      return Json.MESSAGES.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode as JSON: " + value, e);
    }
  }

  private static <T> T fromJson(String text, Class<T> type) {
    try {
      return Json.MESSAGES.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot decode as " + type.getSimpleName() + ": " + text, e);
    }
  }
}
