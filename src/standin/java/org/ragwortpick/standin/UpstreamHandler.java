package org.ragwortpick.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.ragwortpick.common.Json;
import org.xnio.IoUtils;

/** HTTP interface of one simulated upstream. */
final class UpstreamHandler implements HttpHandler {

  private static final Logger LOG = Logger.getLogger(UpstreamHandler.class);
  private static final HttpString COLD = new HttpString("Cold");
  private static final HttpString LEAVING = new HttpString("Leaving");
  private static final double MS_PER_SECOND = 1_000;
  private static final List<HttpString> ECHOED_HEADERS =
      List.of(new HttpString("Request-Id"), new HttpString("Stage"), new HttpString("Attempt"));
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final UpstreamStandIn upstream;
  private final ScheduledExecutorService executor;

  /**
   * Creates the handler.
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
      parseBody(exchange, this::handleControl);
      return;
    }
    for (HttpString name : ECHOED_HEADERS) {
      String value = exchange.getRequestHeaders().getFirst(name);
      if (value != null) {
        exchange.getResponseHeaders().put(name, value);
      }
    }
    switch (exchange.getRequestPath()) {
      case "/v1/execute" -> parseBody(exchange, this::execute);
      case "/v1/generate" -> parseBody(exchange, this::generate);
      case "/v1/cancel" -> parseBody(exchange, this::cancel);
      case "/v1/orders" -> parseBody(exchange, this::acceptOrder);
      case "/v1/cache-events" -> sendCacheEvents(exchange);
      default -> send(exchange, NOT_FOUND, Json.MESSAGES.createObjectNode());
    }
  }

  private void execute(HttpServerExchange exchange, JsonNode body) {
    if (!admit(exchange)) {
      return;
    }
    String marker = RequestMarker.find(body);
    upstream.recordExecution(marker, callerOf(exchange));
    ObjectNode output = Json.MESSAGES.createObjectNode();
    output.put("marker", marker);
    output.put("service", upstream.spec().service());
    output.put("upstream", upstream.spec().id());
    ObjectNode response = Json.MESSAGES.createObjectNode();
    response.set("output", output);
    exchange.dispatch(
        executor,
        () ->
            executor.schedule(
                () -> {
                  upstream.coldStart().releaseSlot();
                  if (!upstream.isSilent() && upstream.nextIsCut()) {
                    sendHalf(exchange, response);
                  } else if (!upstream.isSilent()) {
                    send(exchange, OK, response);
                  }
                },
                upstream.executeMs(),
                TimeUnit.MILLISECONDS));
  }

  private void generate(HttpServerExchange exchange, JsonNode body) {
    if (!admit(exchange)) {
      return;
    }
    upstream.recordExecution(RequestMarker.find(body), callerOf(exchange));
    if (upstream.endsUnder(body)) {
      upstream.coldStart().releaseSlot();
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    String streamId = streamId(exchange);
    boolean cut = upstream.nextIsCut();
    if (cut) {
      // Without chunks, the end of the connection ends the response.
      exchange.setPersistent(false);
    }
    try {
      new ServerSentEventHandler(
              (connection, lastEventId) -> upstream.generate(connection, streamId, body, cut))
          .handleRequest(exchange);
    } catch (Exception e) {
      LOG.warnf(e, "request %s: cannot start the token stream; closing the exchange", streamId);
      upstream.coldStart().releaseSlot();
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

  private void acceptOrder(HttpServerExchange exchange, JsonNode body) {
    boolean accepted =
        upstream.orders().accept(body.path("orderId").asText(), body.path("fencingToken").asLong());
    send(exchange, accepted ? OK : CONFLICT, Json.MESSAGES.createObjectNode());
  }

  private void sendCacheEvents(HttpServerExchange exchange) {
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

  private void handleControl(HttpServerExchange exchange, JsonNode body) {
    String path = exchange.getRequestPath();
    if (path.equals("/stand-in/report")) {
      send(exchange, OK, upstream.report());
      return;
    }
    String fault = path.substring(path.lastIndexOf('/') + 1);
    boolean applied = upstream.applyFault(fault, body.path("value").asLong());
    send(exchange, applied ? OK : NOT_FOUND, upstream.report());
  }

  private boolean admit(HttpServerExchange exchange) {
    if (upstream.isSilent()) {
      // Keeps the exchange open without a response, as on a stalled connection.
      exchange.dispatch(executor, () -> {});
      return false;
    }
    if (upstream.saysLeaving()) {
      exchange.getResponseHeaders().put(LEAVING, "true");
    }
    long pauseMs = upstream.refuseInPauseMs();
    if (pauseMs > 0) {
      exchange
          .getResponseHeaders()
          .put(Headers.RETRY_AFTER, String.valueOf(pauseMs / MS_PER_SECOND));
      send(exchange, UNAVAILABLE, Json.MESSAGES.createObjectNode().put("error", "paused"));
      return false;
    }
    if (upstream.coldStart().isCold()) {
      exchange.getResponseHeaders().put(COLD, "true");
    }
    if (upstream.coldStart().tryAcquireSlot()) {
      return true;
    }
    send(exchange, UNAVAILABLE, Json.MESSAGES.createObjectNode().put("error", "overloaded"));
    return false;
  }

  private static String streamId(HttpServerExchange exchange) {
    StringBuilder id = new StringBuilder();
    for (HttpString name : ECHOED_HEADERS) {
      id.append(id.isEmpty() ? "" : "/").append(exchange.getRequestHeaders().getFirst(name));
    }
    return id.toString();
  }

  private static String callerOf(HttpServerExchange exchange) {
    return exchange.getRequestHeaders().getFirst("Workspace") + " " + streamId(exchange);
  }

  private void parseBody(HttpServerExchange exchange, BodyHandler handler) {
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

  /** Sends the first half of a body whose end is that of the connection. */
  private static void sendHalf(HttpServerExchange exchange, JsonNode body) {
    String text = body.toString();
    exchange.setPersistent(false);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange
        .getResponseSender()
        .send(
            text.substring(0, text.length() / 2),
            new IoCallback() {
              @Override
              public void onComplete(HttpServerExchange sent, Sender sender) {
                sender.close();
              }

              @Override
              public void onException(
                  HttpServerExchange failed, Sender sender, IOException exception) {
                sender.close();
              }
            });
  }

  /** Handles a request whose body has been received and parsed. */
  private interface BodyHandler {
    void handle(HttpServerExchange exchange, JsonNode body);
  }
}
