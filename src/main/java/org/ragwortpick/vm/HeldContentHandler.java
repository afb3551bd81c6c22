package org.ragwortpick.vm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.time.Clock;
import org.ragwortpick.common.Json;
import org.ragwortpick.policy.quarantine.ContentQuarantine;
import org.ragwortpick.policy.quarantine.HeldContent;

/**
 * Shows operators the prompt parts and requests that are held back, and releases one. Runs on the
 * thread of the quarantine.
 */
final class HeldContentHandler implements HttpHandler {

  private static final String LIST_PATH = "/held-content";
  private static final String RELEASE_PATH = "/held-content/release";

  /** Paths, and below names, that operators knew before whole requests were held too. */
  private static final String OLD_LIST_PATH = "/held-parts";

  private static final String OLD_RELEASE_PATH = "/held-parts/release";

  private final ContentQuarantine quarantine;
  private final Clock clock;
  private final HttpHandler next;

  /**
   * Creates a handler.
   *
   * @param quarantine the quarantine of the local VM
   * @param clock monotonic clock
   * @param next handler of all other paths
   */
  HeldContentHandler(ContentQuarantine quarantine, Clock clock, HttpHandler next) {
    this.quarantine = quarantine;
    this.clock = clock;
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    boolean get = exchange.getRequestMethod().equals(Methods.GET);
    String path = exchange.getRequestPath();
    if (get && path.equals(LIST_PATH)) {
      send(exchange, StatusCodes.OK, list("heldContent", "content"));
    } else if (get && path.equals(OLD_LIST_PATH)) {
      send(exchange, StatusCodes.OK, list("heldParts", "part"));
    } else if (!get && (path.equals(RELEASE_PATH) || path.equals(OLD_RELEASE_PATH))) {
      exchange.getRequestReceiver().receiveFullString(this::release);
    } else {
      next.handleRequest(exchange);
    }
  }

  private ObjectNode list(String listName, String idName) {
    ObjectNode body = Json.MESSAGES.createObjectNode();
    ArrayNode contents = body.putArray(listName);
    long nowMs = clock.millis();
    for (HeldContent held : quarantine.held()) {
      ObjectNode entry = contents.addObject();
      entry.put("service", held.service());
      entry.put(idName, held.content());
      entry.set("companions", Json.MESSAGES.valueToTree(held.companions()));
      entry.put("crashes", held.crashes());
      entry.put("heldMs", nowMs - held.heldSinceMs());
      entry.put("lastCrashAgeMs", nowMs - held.lastCrashAtMs());
      entry.put("trialInMs", held.trialAtMs() - nowMs);
    }
    return body;
  }

  private void release(HttpServerExchange exchange, String text) {
    try {
      JsonNode body = Json.MESSAGES.readTree(text);
      String service = body.path("service").asText();
      String content = body.path("content").asText(body.path("part").asText());
      boolean released = quarantine.release(service, content);
      send(
          exchange,
          released ? StatusCodes.OK : StatusCodes.NOT_FOUND,
          Json.MESSAGES.createObjectNode().put("released", released));
    } catch (JsonProcessingException e) {
      send(
          exchange,
          StatusCodes.BAD_REQUEST,
          Json.MESSAGES
              .createObjectNode()
              .put("error", "the body is not JSON; send {\"service\":...,\"content\":...}"));
    }
  }

  private static void send(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(body.toString());
  }
}
