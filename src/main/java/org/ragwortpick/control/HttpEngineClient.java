package org.ragwortpick.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.jboss.logging.Logger;
import org.ragwortpick.common.HostPort;
import org.ragwortpick.common.Json;

/** Sends orders to engines by {@code POST /v1/orders}. */
public final class HttpEngineClient implements EngineClient {

  private static final Logger LOG = Logger.getLogger(HttpEngineClient.class);
  private static final String ORDERS_PATH = "/v1/orders";
  private static final int STATUS_ACCEPTED = 200;
  private static final int STATUS_TOKEN_OLD = 409;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  private final HttpClient client;

  /** Creates the client. */
  public HttpEngineClient() {
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
  }

  @Override
  public CompletionStage<OrderOutcome> send(
      HostPort address, EngineOrder order, long fencingToken, long timeoutMs) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + ORDERS_PATH))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body(order, fencingToken)))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.discarding())
        .handle(
            (response, failure) ->
                failure == null
                    ? outcome(response.statusCode(), order)
                    : noResponse(order, failure));
  }

  private static OrderOutcome outcome(int status, EngineOrder order) {
    return switch (status) {
      case STATUS_ACCEPTED -> OrderOutcome.TAKEN;
      case STATUS_TOKEN_OLD -> OrderOutcome.TOKEN_OLD;
      default -> {
        LOG.warnf(
            "engine %s responded to order %s with unexpected status %d; the order is resent",
            order.upstreamId(), order.orderId(), status);
        yield OrderOutcome.UNKNOWN;
      }
    };
  }

  private static OrderOutcome noResponse(EngineOrder order, Throwable failure) {
    LOG.debugf(
        "engine %s did not respond to order %s; the order is resent: %s",
        order.upstreamId(), order.orderId(), failure.getMessage());
    return OrderOutcome.UNKNOWN;
  }

  private static String body(EngineOrder order, long fencingToken) {
    ObjectNode body =
        Json.MESSAGES
            .createObjectNode()
            .put("orderId", order.orderId())
            .put("fencingToken", fencingToken)
            .put("action", order.action().name())
            .put("model", order.model())
            .put("version", order.version())
            .put("adapter", order.adapter())
            .put("role", order.role());
    try {
      return Json.MESSAGES.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode as JSON: " + order, e);
    }
  }
}
