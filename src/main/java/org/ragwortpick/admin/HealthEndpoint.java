package org.ragwortpick.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import org.ragwortpick.common.Json;

/** Health checks: liveness of the process, and readiness of the VM to serve callers. */
final class HealthEndpoint {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final VmStatus status;

  /**
   * Creates the endpoint.
   *
   * @param status state of the VM
   */
  HealthEndpoint(VmStatus status) {
    this.status = status;
  }

  /**
   * Responds to a liveness check.
   *
   * @param exchange the exchange
   */
  void live(HttpServerExchange exchange) {
    JsonExchange.send(exchange, OK, Json.MESSAGES.createObjectNode().put("live", true));
  }

  /**
   * Responds to a readiness check.
   *
   * @param exchange the exchange
   */
  void ready(HttpServerExchange exchange) {
    boolean ready = status.isReady();
    ObjectNode body = Json.MESSAGES.createObjectNode();
    body.put("ready", ready);
    body.put("confirmedAgeMs", status.confirmedAgeMs());
    status.groups().stream()
        .flatMap(group -> group.failure().stream())
        .findFirst()
        .ifPresent(failure -> body.put("storageFailed", failure));
    JsonExchange.send(exchange, ready ? OK : UNAVAILABLE, body);
  }
}
