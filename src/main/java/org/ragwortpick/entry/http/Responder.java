package org.ragwortpick.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;
import org.ragwortpick.entry.AddressSource;
import org.ragwortpick.entry.RequestContext;
import org.ragwortpick.entry.StageCost;
import org.ragwortpick.entry.upstream.UpstreamHeaders;
import org.ragwortpick.error.ApiError;
import org.ragwortpick.error.ExecutionOutcome;
import org.ragwortpick.error.RequestError;
import org.ragwortpick.error.RequestErrors;

/** Writes responses to callers. Methods may be called from any thread. */
public final class Responder {

  /** Span attribute with the id of the request, as it is sent to upstreams. */
  static final String REQUEST_ID_ATTRIBUTE = "requestId";

  private static final HttpString STAGE_COST = HttpString.tryFromString("Stage-Cost");
  private static final HttpString EXECUTION = HttpString.tryFromString("Execution");
  private static final String CALLS_PATH = "/v1/calls/";

  private final AddressSource addressSource;

  /**
   * Creates a responder.
   *
   * @param addressSource source of the addresses in error responses
   */
  public Responder(AddressSource addressSource) {
    this.addressSource = addressSource;
  }

  /**
   * Adds the id of the request to the response headers.
   *
   * @param exchange exchange of the request
   * @param request the request
   */
  void setRequestId(HttpServerExchange exchange, RequestContext request) {
    exchange.getResponseHeaders().put(UpstreamHeaders.REQUEST_ID, request.requestId());
  }

  /**
   * Sends a JSON response.
   *
   * @param exchange exchange of the request
   * @param status HTTP status
   * @param body value to encode as the body
   */
  void sendJson(HttpServerExchange exchange, int status, Object body) {
    send(exchange, status, toJsonBytes(body));
  }

  /**
   * Sends the unchanged response of a service.
   *
   * @param exchange exchange of the request
   * @param status HTTP status
   * @param body response body
   * @param stages cost of the stages
   */
  void sendServiceResponse(
      HttpServerExchange exchange, int status, byte[] body, List<StageCost> stages) {
    exchange.getResponseHeaders().put(EXECUTION, ExecutionOutcome.DONE.text());
    exchange.getResponseHeaders().put(STAGE_COST, toJson(stages));
    send(exchange, status, body);
  }

  /**
   * Sends an error response.
   *
   * @param exchange exchange of the request
   * @param error the error
   * @param execution whether the request was executed, as far as known
   * @param stages cost of the stages that ran
   */
  void sendError(
      HttpServerExchange exchange,
      RequestError error,
      ExecutionOutcome execution,
      List<StageCost> stages) {
    ApiError api = apiError(error, execution);
    exchange.getResponseHeaders().put(EXECUTION, execution.text());
    if (!stages.isEmpty()) {
      exchange.getResponseHeaders().put(STAGE_COST, toJson(stages));
    }
    send(exchange, api.status(), toJsonBytes(api));
  }

  /**
   * Sends the response for a call with unknown outcome, which contains the path of its status.
   *
   * @param exchange exchange of the request
   * @param key idempotency key
   * @param stages cost of the stages that ran
   */
  void sendOutcomeUnknown(HttpServerExchange exchange, String key, List<StageCost> stages) {
    ApiError api = apiError(new RequestError.OutcomeUnknown(), ExecutionOutcome.UNKNOWN);
    ObjectNode body = Json.MESSAGES.valueToTree(api);
    body.put("statusPath", CALLS_PATH + encodeForPath(key));
    exchange.getResponseHeaders().put(EXECUTION, ExecutionOutcome.UNKNOWN.text());
    exchange.getResponseHeaders().put(STAGE_COST, toJson(stages));
    send(exchange, api.status(), toJsonBytes(body));
  }

  /**
   * Converts an error into the error body that callers receive.
   *
   * @param error the error
   * @param execution whether the request was executed, as far as known
   * @return the error body with the addresses of entry VMs to use next
   */
  ApiError apiError(RequestError error, ExecutionOutcome execution) {
    List<String> addresses =
        addressSource.current().addresses().stream().map(HostPort::toString).toList();
    return RequestErrors.toApiError(error, execution, addresses);
  }

  /**
   * Encodes a key for a path. Slashes are not encoded, since the server does not decode encoded
   * slashes and accepts keys that contain slashes.
   */
  private static String encodeForPath(String key) {
    return URLEncoder.encode(key, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  private static void send(HttpServerExchange exchange, int status, byte[] body) {
    exchange
        .getIoThread()
        .execute(
            () -> {
              if (!exchange.getConnection().isOpen() || exchange.isResponseStarted()) {
                exchange.endExchange();
                return;
              }
              exchange.setStatusCode(status);
              exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
              exchange.getResponseSender().send(ByteBuffer.wrap(body));
            });
  }

  /**
   * Formats a value as one line of JSON.
   *
   * @param value the value
   * @return JSON text
   */
  static String toJson(Object value) {
    return new String(toJsonBytes(value), StandardCharsets.UTF_8);
  }

  private static byte[] toJsonBytes(Object value) {
    try {
      return Json.MESSAGES.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot encode a value of " + value.getClass().getName() + " as JSON", e);
    }
  }
}
