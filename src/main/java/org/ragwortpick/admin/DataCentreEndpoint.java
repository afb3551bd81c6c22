package org.ragwortpick.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import org.ragwortpick.control.Administration;
import org.ragwortpick.control.ReturnRequest;
import org.ragwortpick.control.TakeOutRequest;

/** Takes data centres out of service and returns them. */
final class DataCentreEndpoint {

  private final Administration administration;

  /**
   * Creates the endpoint.
   *
   * @param administration operator requests
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
    JsonExchange.receive(
        exchange,
        body ->
            JsonExchange.answerLater(
                exchange,
                administration.takeOut(
                    new TakeOutRequest(
                        requestId(body), dataCentre(exchange), body.path("now").asBoolean()),
                    ConfigurationEndpoint.TIMEOUT_MS),
                result -> ConfigurationEndpoint.answer(exchange, result)));
  }

  /**
   * Returns a data centre to service.
   *
   * @param exchange the exchange
   */
  void returnToService(HttpServerExchange exchange) {
    JsonExchange.receive(
        exchange,
        body ->
            JsonExchange.answerLater(
                exchange,
                administration.returnToService(
                    new ReturnRequest(requestId(body), dataCentre(exchange)),
                    ConfigurationEndpoint.TIMEOUT_MS),
                result -> ConfigurationEndpoint.answer(exchange, result)));
  }

  private static String requestId(JsonNode body) {
    return body.path("requestId").asText("");
  }

  private static String dataCentre(HttpServerExchange exchange) {
    return exchange.getQueryParameters().get("dataCentre").getFirst();
  }
}
