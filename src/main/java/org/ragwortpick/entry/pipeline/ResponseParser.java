package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamEnd;

/** Classifies the ends of calls to upstreams and parses their stream events. */
final class ResponseParser {

  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private ResponseParser() {}

  /**
   * Converts the end of a call whose attempt id was checked into the end of its attempt.
   *
   * @param task task of the stage
   * @param end end of the call
   * @return end of the attempt
   */
  static AttemptEnd classify(StageTask task, UpstreamEnd end) {
    if (end instanceof CallFailure.NotConnected e) {
      return failed(AttemptEnd.Kind.NOT_CONNECTED, 0, e.cause());
    }
    if (end instanceof CallFailure.NotPermitted) {
      return failed(AttemptEnd.Kind.NOT_PERMITTED, 0, "the upstream may not be sent new work");
    }
    if (end instanceof CallFailure.TimedOut) {
      return failed(AttemptEnd.Kind.TIMED_OUT, 0, "no byte arrived within the progress timeout");
    }
    if (end instanceof CallFailure.Broken e) {
      boolean unusable = e.sign() == CallFailure.Broken.Sign.UNUSABLE;
      return failed(unusable ? AttemptEnd.Kind.BROKEN : AttemptEnd.Kind.BROKEN_OFF, 0, e.cause());
    }
    if (end instanceof UpstreamEnd.Answered e) {
      return classifyResponse(task, e);
    }
    return failed(AttemptEnd.Kind.BROKEN, 0, "the call was aborted");
  }

  private static AttemptEnd classifyResponse(StageTask task, UpstreamEnd.Answered call) {
    int status = call.head().status();
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
      return failed(AttemptEnd.Kind.REFUSED, status, "the upstream refused with " + status);
    }
    if (status >= SERVER_ERROR) {
      return failed(AttemptEnd.Kind.ERROR, status, "the upstream responded with " + status);
    }
    if (task.passThrough()) {
      return completed(new StageResponse(status, call.body(), null));
    }
    if (status != OK) {
      return failed(AttemptEnd.Kind.REJECTED, status, "the upstream responded with " + status);
    }
    if (task.stream()) {
      return failed(
          AttemptEnd.Kind.BROKEN_OFF, status, "the stream ended before its \"done\" event");
    }
    try {
      JsonNode output = Json.MESSAGES.readTree(call.body()).get("output");
      return output == null
          ? failed(AttemptEnd.Kind.BROKEN, status, "the response has no field \"output\"")
          : completed(new StageResponse(status, call.body(), output));
    } catch (IOException e) {
      return failed(AttemptEnd.Kind.BROKEN, status, "the response is not JSON");
    }
  }

  /**
   * Creates the end of an attempt whose complete response arrived.
   *
   * @param response the response
   * @return the end
   */
  static AttemptEnd completed(StageResponse response) {
    return new AttemptEnd(AttemptEnd.Kind.COMPLETE, response, response.status(), "");
  }

  /**
   * Creates the end of an attempt that failed.
   *
   * @param kind kind of the end
   * @param status HTTP status; 0 if none arrived
   * @param cause description of the failure
   * @return the end
   */
  static AttemptEnd failed(AttemptEnd.Kind kind, int status, String cause) {
    return new AttemptEnd(kind, null, status, cause);
  }

  /**
   * Parses a token event.
   *
   * @param event the event
   * @return the token, or empty if the event is not valid
   */
  static Optional<Token> parseToken(ServerSentEvent event) {
    return parseObject(event)
        .filter(data -> isInt(data.get("offset")))
        .filter(data -> data.hasNonNull("text") && data.get("text").isTextual())
        .map(data -> new Token(data.get("offset").intValue(), data.get("text").textValue()));
  }

  /**
   * Parses the event that completes a stream.
   *
   * @param event the event
   * @return the number of tokens of the whole stream, or empty if the event is not valid
   */
  static Optional<Integer> parseDone(ServerSentEvent event) {
    return parseObject(event)
        .filter(data -> isInt(data.get("tokens")))
        .map(data -> data.get("tokens").intValue());
  }

  private static boolean isInt(JsonNode value) {
    return value != null && value.isInt();
  }

  private static Optional<JsonNode> parseObject(ServerSentEvent event) {
    try {
      return Optional.ofNullable(Json.MESSAGES.readTree(event.data())).filter(JsonNode::isObject);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Token of a stream.
   *
   * @param offset number of tokens of the stream before this one
   * @param text text of the token
   */
  record Token(int offset, String text) {}
}
