package org.ragwortpick.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.util.OptionalLong;
import org.ragwortpick.control.Administration;
import org.ragwortpick.control.ReturnRequest;
import org.ragwortpick.control.TakeOutRequest;

/** Endpoint that takes data centres out of service and returns them to service. */
final class DataCentreEndpoint {

  private final Administration administration;

  /**
   * Creates the endpoint.
   *
   * @param administration executes operator requests
   */
  DataCentreEndpoint(Administration administration) {
    this.administration = administration;
  }

  /**
   * Takes a data centre out of service.
   *
   * @param exchange the exchange
   */
  void takeOut(HttpServerExchange exchange) {
    JsonExchange.receiveObject(
        exchange,
        body ->
            JsonExchange.sendWhenComplete(
                exchange,
                administration.takeOut(
                    new TakeOutRequest(
                        requestId(body),
                        dataCentre(exchange),
                        body.path("now").asBoolean(),
                        baseRevision(body)),
                    ConfigurationEndpoint.OPERATION_TIMEOUT_MS),
                result -> ConfigurationEndpoint.sendChangeResult(exchange, result)));
  }

  /**
   * Returns a data centre to service.
   *
   * @param exchange the exchange
   */
  void returnToService(HttpServerExchange exchange) {
    JsonExchange.receiveObject(
        exchange,
        body ->
            JsonExchange.sendWhenComplete(
                exchange,
                administration.returnToService(
                    new ReturnRequest(requestId(body), dataCentre(exchange), baseRevision(body)),
                    ConfigurationEndpoint.OPERATION_TIMEOUT_MS),
                result -> ConfigurationEndpoint.sendChangeResult(exchange, result)));
  }

  private static String requestId(JsonNode body) {
    return body.path("requestId").asText("");
  }

  private static OptionalLong baseRevision(JsonNode body) {
    JsonNode revision = body.path("baseRevision");
    return revision.isIntegralNumber() ? OptionalLong.of(revision.asLong()) : OptionalLong.empty();
  }

  private static String dataCentre(HttpServerExchange exchange) {
    return exchange.getQueryParameters().get("dataCentre").getFirst();
  }
}
