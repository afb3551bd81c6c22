package org.ragwortpick.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.common.Json;

/** HTTP interface of one upstream that is played. */
final class UpstreamHandler implements HttpHandler {

  private static final Logger LOG = Logger.getLogger(UpstreamHandler.class);
  private static final HttpString COLD = new HttpString("Cold");
  private static final List<HttpString> ECHOED =
      List.of(new HttpString("Request-Id"), new HttpString("Stage"), new HttpString("Attempt"));
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final UpstreamStandIn upstream;
  private final ScheduledExecutorService executor;

  /**
   * Creates the interface.
   *
   * @param upstream the upstream
   * @param executor executor of timers
   */
  UpstreamHandler(UpstreamStandIn upstream, ScheduledExecutorService executor) {
    this.upstream = upstream;
    this.executor = executor;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (exchange.getRequestPath().startsWith("/stand-in/")) {
      receive(exchange, this::control);
      return;
    }
    for (HttpString name : ECHOED) {
      String value = exchange.getRequestHeaders().getFirst(name);
      if (value != null) {
        exchange.getResponseHeaders().put(name, value);
      }
    }
    switch (exchange.getRequestPath()) {
      case "/v1/execute" -> receive(exchange, this::execute);
      case "/v1/generate" -> receive(exchange, this::generate);
      case "/v1/cancel" -> receive(exchange, this::cancel);
      case "/v1/orders" -> receive(exchange, this::order);
      case "/v1/cache-events" -> cacheEvents(exchange);
      default -> send(exchange, NOT_FOUND, Json.MESSAGES.createObjectNode());
    }
  }

  private void execute(HttpServerExchange exchange, JsonNode body) {
    if (!enter(exchange)) {
      return;
    }
    String marker = RequestMarker.find(body);
    upstream.recordExecution(marker, caller(exchange));
    ObjectNode output = Json.MESSAGES.createObjectNode();
    output.put("marker", marker);
    output.put("service", upstream.spec().service());
    output.put("upstream", upstream.spec().id());
    ObjectNode answer = Json.MESSAGES.createObjectNode();
    answer.set("output", output);
    exchange.dispatch(
        executor,
        () ->
            executor.schedule(
                () -> {
                  upstream.coldStart().leave();
                  if (!upstream.isSilent()) {
                    send(exchange, OK, answer);
                  }
                },
                upstream.executeMs(),
                TimeUnit.MILLISECONDS));
  }

  private void generate(HttpServerExchange exchange, JsonNode body) {
    if (!enter(exchange)) {
      return;
    }
    upstream.recordExecution(RequestMarker.find(body), caller(exchange));
    String streamId = streamId(exchange);
    try {
      new ServerSentEventHandler(
              (connection, lastEventId) -> upstream.generate(connection, streamId, body))
          .handleRequest(exchange);
    } catch (Exception e) {
      LOG.warnf(e, "cannot start a stream for %s", streamId);
      upstream.coldStart().leave();
      exchange.endExchange();
    }
  }

  private void cancel(HttpServerExchange exchange, JsonNode body) {
    upstream.cancel(
        body.path("requestId").asText()
            + "/"
            + body.path("stage").asText()
            + "/"
            + body.path("attempt").asText());
    send(exchange, OK, Json.MESSAGES.createObjectNode());
  }

  private void order(HttpServerExchange exchange, JsonNode body) {
    boolean taken =
        upstream.orders().take(body.path("orderId").asText(), body.path("fencingToken").asLong());
    send(exchange, taken ? OK : CONFLICT, Json.MESSAGES.createObjectNode());
  }

  private void cacheEvents(HttpServerExchange exchange) {
    Deque<String> after = exchange.getQueryParameters().get("after");
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("sequence", upstream.prefixCache().sequence());
    if (after == null) {
      body.set("snapshot", Json.MESSAGES.valueToTree(upstream.prefixCache().snapshot()));
    } else {
      long sequence = Long.parseLong(after.getFirst());
      body.set("events", Json.MESSAGES.valueToTree(upstream.prefixCache().eventsAfter(sequence)));
    }
    send(exchange, OK, body);
  }

  private void control(HttpServerExchange exchange, JsonNode body) {
    String path = exchange.getRequestPath();
    if (path.equals("/stand-in/report")) {
      send(exchange, OK, upstream.report());
      return;
    }
    String fault = path.substring(path.lastIndexOf('/') + 1);
    boolean known = upstream.applyFault(fault, body.path("value").asLong());
    send(exchange, known ? OK : NOT_FOUND, upstream.report());
  }

  private boolean enter(HttpServerExchange exchange) {
    if (upstream.isSilent()) {
      // The exchange stays open without an answer, as on a connection that went silent.
      exchange.dispatch(executor, () -> {});
      return false;
    }
    if (upstream.coldStart().isCold()) {
      exchange.getResponseHeaders().put(COLD, "true");
    }
    if (upstream.coldStart().enter()) {
      return true;
    }
    send(exchange, UNAVAILABLE, Json.MESSAGES.createObjectNode().put("error", "overloaded"));
    return false;
  }

  private static String streamId(HttpServerExchange exchange) {
    StringBuilder id = new StringBuilder();
    for (HttpString name : ECHOED) {
      id.append(id.isEmpty() ? "" : "/").append(exchange.getRequestHeaders().getFirst(name));
    }
    return id.toString();
  }

  private static String caller(HttpServerExchange exchange) {
    return exchange.getRequestHeaders().getFirst("Workspace") + " " + streamId(exchange);
  }

  private void receive(HttpServerExchange exchange, BodyHandler handler) {
    exchange
        .getRequestReceiver()
        .receiveFullString(
            (received, text) -> {
              try {
                JsonNode body = Json.MESSAGES.readTree(text.isEmpty() ? "{}" : text);
                handler.handle(received, body);
              } catch (JsonProcessingException e) {
                send(received, BAD_REQUEST, Json.MESSAGES.createObjectNode());
              }
            });
  }

  private static void send(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString());
  }

  /** Handles a request whose body was received. */
  private interface BodyHandler {
    void handle(HttpServerExchange exchange, JsonNode body);
  }
}
