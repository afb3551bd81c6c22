package org.ragwortpick.entry.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Optional;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.upstream.CallFailure;
import org.ragwortpick.entry.upstream.ServerSentEvent;
import org.ragwortpick.entry.upstream.UpstreamEnd;

/** Judges answers of upstreams. */
final class AnswerParser {

  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  private AnswerParser() {}

  /**
   * Judges the end of a call whose identity was checked.
   *
   * @param task work of the stage
   * @param end end of the call
   * @return end of the attempt
   */
  static AttemptEnd judge(StageTask task, UpstreamEnd end) {
    if (end instanceof CallFailure.NotConnected e) {
      return without(AttemptEnd.Kind.NOT_CONNECTED, 0, e.cause());
    }
    if (end instanceof CallFailure.NotPermitted) {
      return without(AttemptEnd.Kind.NOT_PERMITTED, 0, "the upstream may not receive new work");
    }
    if (end instanceof CallFailure.TimedOut) {
      return without(AttemptEnd.Kind.TIMED_OUT, 0, "no byte arrived within the progress timeout");
    }
    if (end instanceof CallFailure.Broken e) {
      return without(AttemptEnd.Kind.BROKEN, 0, e.cause());
    }
    if (end instanceof UpstreamEnd.Answered e) {
      return judgeAnswer(task, e);
    }
    return without(AttemptEnd.Kind.BROKEN, 0, "the call was aborted");
  }

  private static AttemptEnd judgeAnswer(StageTask task, UpstreamEnd.Answered answered) {
    int status = answered.head().status();
    if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
      return without(AttemptEnd.Kind.REFUSED, status, "the upstream refused with " + status);
    }
    if (status >= SERVER_ERROR) {
      return without(AttemptEnd.Kind.ERROR, status, "the upstream answered " + status);
    }
    if (task.opaque()) {
      return complete(new StageAnswer(status, answered.body(), null));
    }
    if (status != OK) {
      return without(AttemptEnd.Kind.REJECTED, status, "the upstream answered " + status);
    }
    if (task.stream()) {
      return without(AttemptEnd.Kind.BROKEN, status, "the stream ended before its last event");
    }
    try {
      JsonNode output = Json.MESSAGES.readTree(answered.body()).get("output");
      return output == null
          ? without(AttemptEnd.Kind.BROKEN, status, "the answer has no output")
          : complete(new StageAnswer(status, answered.body(), output));
    } catch (IOException e) {
      return without(AttemptEnd.Kind.BROKEN, status, "the answer is not JSON");
    }
  }

  /**
   * Creates the end of an attempt whose whole answer arrived.
   *
   * @param answer the answer
   * @return the end
   */
  static AttemptEnd complete(StageAnswer answer) {
    return new AttemptEnd(AttemptEnd.Kind.COMPLETE, answer, answer.status(), "");
  }

  /**
   * Creates the end of an attempt that failed.
   *
   * @param kind kind of the end
   * @param status HTTP status; 0 if none arrived
   * @param cause what happened
   * @return the end
   */
  static AttemptEnd without(AttemptEnd.Kind kind, int status, String cause) {
    return new AttemptEnd(kind, null, status, cause);
  }

  /**
   * Parses a token event.
   *
   * @param event the event
   * @return the token, or empty if the event is not valid
   */
  static Optional<Token> parseToken(ServerSentEvent event) {
    return parse(event)
        .filter(data -> isInt(data.get("offset")))
        .filter(data -> data.hasNonNull("text") && data.get("text").isTextual())
        .map(data -> new Token(data.get("offset").intValue(), data.get("text").textValue()));
  }

  /**
   * Parses the event that ends a stream.
   *
   * @param event the event
   * @return the number of tokens of the whole answer, or empty if the event is not valid
   */
  static Optional<Integer> parseDone(ServerSentEvent event) {
    return parse(event)
        .filter(data -> isInt(data.get("tokens")))
        .map(data -> data.get("tokens").intValue());
  }

  private static boolean isInt(JsonNode value) {
    return value != null && value.isInt();
  }

  private static Optional<JsonNode> parse(ServerSentEvent event) {
    try {
      return Optional.ofNullable(Json.MESSAGES.readTree(event.data())).filter(JsonNode::isObject);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Token of a stream.
   *
   * @param offset offset, from 0
   * @param text text
   */
  record Token(int offset, String text) {}
}
