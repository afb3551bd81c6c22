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

/** Writes answers to callers. May be called from any thread. */
public final class Responder {

  /** Attribute of the span of a request that holds its identity, as it is sent to upstreams. */
  static final String REQUEST_ID_ATTRIBUTE = "requestId";

  private static final HttpString STAGE_COST = HttpString.tryFromString("Stage-Cost");
  private static final HttpString EXECUTION = HttpString.tryFromString("Execution");
  private static final String CALLS_PATH = "/v1/calls/";

  private final AddressSource addressSource;

  /**
   * Creates a responder.
   *
   * @param addressSource source of the addresses in refusals
   */
  public Responder(AddressSource addressSource) {
    this.addressSource = addressSource;
  }

  /**
   * Adds the identity of the request to its answer.
   *
   * @param exchange exchange of the request
   * @param request the request
   */
  void identify(HttpServerExchange exchange, RequestContext request) {
    exchange.getResponseHeaders().put(UpstreamHeaders.REQUEST_ID, request.requestId());
  }

  /**
   * Sends a JSON answer.
   *
   * @param exchange exchange of the request
   * @param status HTTP status
   * @param body the answer
   */
  void json(HttpServerExchange exchange, int status, Object body) {
    send(exchange, status, bytes(body));
  }

  /**
   * Sends an answer of a service as it is.
   *
   * @param exchange exchange of the request
   * @param status HTTP status
   * @param body body
   * @param stages cost of the stages
   */
  void passOn(HttpServerExchange exchange, int status, byte[] body, List<StageCost> stages) {
    exchange.getResponseHeaders().put(EXECUTION, ExecutionOutcome.DONE.text());
    exchange.getResponseHeaders().put(STAGE_COST, text(stages));
    send(exchange, status, body);
  }

  /**
   * Sends an error.
   *
   * @param exchange exchange of the request
   * @param error the error
   * @param execution what is known about the execution
   * @param stages cost of the stages that ran
   */
  void error(
      HttpServerExchange exchange,
      RequestError error,
      ExecutionOutcome execution,
      List<StageCost> stages) {
    ApiError api = apiError(error, execution);
    exchange.getResponseHeaders().put(EXECUTION, execution.text());
    if (!stages.isEmpty()) {
      exchange.getResponseHeaders().put(STAGE_COST, text(stages));
    }
    send(exchange, api.status(), bytes(api));
  }

  /**
   * Sends the answer for a call whose outcome is not known, with the path of its status.
   *
   * @param exchange exchange of the request
   * @param key idempotency key
   * @param stages cost of the stages that ran
   */
  void unknown(HttpServerExchange exchange, String key, List<StageCost> stages) {
    ApiError api = apiError(new RequestError.OutcomeUnknown(), ExecutionOutcome.UNKNOWN);
    ObjectNode body = Json.MESSAGES.valueToTree(api);
    body.put("statusPath", CALLS_PATH + inPath(key));
    exchange.getResponseHeaders().put(EXECUTION, ExecutionOutcome.UNKNOWN.text());
    exchange.getResponseHeaders().put(STAGE_COST, text(stages));
    send(exchange, api.status(), bytes(body));
  }

  /**
   * Converts an error into the form that callers receive.
   *
   * @param error the error
   * @param execution what is known about the execution
   * @return the error with the addresses to try next
   */
  ApiError apiError(RequestError error, ExecutionOutcome execution) {
    List<String> texts =
        addressSource.current().addresses().stream().map(HostPort::toString).toList();
    return RequestErrors.toApiError(error, execution, texts);
  }

  /** The server does not decode encoded slashes and does not need to: a key may have several. */
  private static String inPath(String key) {
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
  static String text(Object value) {
    return new String(bytes(value), StandardCharsets.UTF_8);
  }

  private static byte[] bytes(Object value) {
    try {
      return Json.MESSAGES.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
    }
  }
}
