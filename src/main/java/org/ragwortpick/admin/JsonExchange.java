package org.ragwortpick.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.ragwortpick.common.Json;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.error.ApiError;

/** Reads request bodies and writes JSON responses of the administration API. */
final class JsonExchange {

  private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

  private JsonExchange() {}

  /**
   * Reads the body of a request; responds with an error if it is not a JSON object.
   *
   * @param exchange the exchange
   * @param handler called with the body if it is a JSON object
   */
  static void receiveObject(HttpServerExchange exchange, Consumer<JsonNode> handler) {
    exchange.setMaxEntitySize(MAX_BODY_BYTES);
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (received, text) -> {
              JsonNode body = parseOrNull(text);
              if (body == null || !body.isObject()) {
                sendError(received, AdminErrors.invalidBody("the body is not a JSON object"));
              } else {
                handler.accept(body);
              }
            });
  }

  private static JsonNode parseOrNull(String text) {
    try {
      return Json.FILES.readTree(text);
    } catch (JsonProcessingException e) {
      return null;
    }
  }

  /**
   * Sends the response when an operation completes. An operation that completes exceptionally is
   * reported with an unknown outcome.
   *
   * @param <T> type of the result
   * @param exchange the exchange
   * @param operation the operation
   * @param onResult sends the response for a result
   */
  static <T> void sendWhenComplete(
      HttpServerExchange exchange, CompletionStage<T> operation, Consumer<T> onResult) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            operation.whenComplete(
                (result, failure) -> {
                  if (failure == null) {
                    onResult.accept(result);
                  } else {
                    sendError(exchange, AdminErrors.fromAdministrationError(unknownOutcome()));
                  }
                }));
  }

  private static AdministrationError unknownOutcome() {
    return new AdministrationError.OutcomeUnknown();
  }

  /**
   * Sends a JSON response.
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
   * Sends an error response.
   *
   * @param exchange the exchange
   * @param error the error
   */
  static void sendError(HttpServerExchange exchange, ApiError error) {
    send(exchange, error.status(), Json.MESSAGES.valueToTree(error));
  }
}
