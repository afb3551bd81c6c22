package org.ragwortpick.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.ragwortpick.common.Json;
import org.ragwortpick.error.ApiError;

/** Reads and writes JSON bodies of the administration API. */
final class JsonExchange {

  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

  private JsonExchange() {}

  /**
   * Reads the body of a request.
   *
   * @param exchange the exchange
   * @param handler receiver of the body, called only if it is a JSON object
   */
  static void receive(HttpServerExchange exchange, Consumer<JsonNode> handler) {
    exchange.setMaxEntitySize(MAX_BODY_BYTES);
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (received, text) -> {
              JsonNode body = parse(text);
              if (body == null || !body.isObject()) {
                error(received, AdminErrors.invalidBody("the body is not a JSON object"));
              } else {
                handler.accept(body);
              }
            });
  }

  private static JsonNode parse(String text) {
    try {
      return Json.FILES.readTree(text);
    } catch (JsonProcessingException e) {
      return null;
    }
  }

  /**
   * Runs an operation that answers the exchange later.
   *
   * @param <T> type of the result
   * @param exchange the exchange
   * @param operation the operation
   * @param onResult writer of the answer
   */
  static <T> void answerLater(
      HttpServerExchange exchange, CompletionStage<T> operation, Consumer<T> onResult) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            operation.whenComplete(
                (result, failure) -> {
                  if (failure == null) {
                    onResult.accept(result);
                  } else {
                    error(exchange, AdminErrors.of(unknownOutcome()));
                  }
                }));
  }

  private static org.ragwortpick.control.AdministrationError unknownOutcome() {
    return new org.ragwortpick.control.AdministrationError.OutcomeUnknown();
  }

  /**
   * Sends a JSON body.
   *
   * @param exchange the exchange
   * @param status HTTP status
   * @param body the body
   */
  static void send(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString());
  }

  /**
   * Sends an error.
   *
   * @param exchange the exchange
   * @param error the error
   */
  static void error(HttpServerExchange exchange, ApiError error) {
    send(exchange, error.status(), Json.MESSAGES.valueToTree(error));
  }
}
