package org.ragwortpick.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.ragwortpick.common.Json;
import org.ragwortpick.config.ConfigurationFiles;
import org.ragwortpick.config.ConfigurationProblem;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Rules;
import org.ragwortpick.control.AcceptedChange;
import org.ragwortpick.control.Administration;
import org.ragwortpick.control.AdministrationError;
import org.ragwortpick.control.ConfigurationVersion;
import org.ragwortpick.control.ProposeRequest;

/** Endpoint that reads and changes the configuration. */
final class ConfigurationEndpoint {

  /** Longest time in milliseconds before an operator receives a response. */
  static final long OPERATION_TIMEOUT_MS = 10_000;

  private final Administration administration;
  private final VmStatus status;

  /**
   * Creates the endpoint.
   *
   * @param administration executes operator requests
   * @param status state of the VM
   */
  ConfigurationEndpoint(Administration administration, VmStatus status) {
    this.administration = administration;
    this.status = status;
  }

  /**
   * Responds with the configuration, read through the leader.
   *
   * @param exchange the exchange
   */
  void read(HttpServerExchange exchange) {
    JsonExchange.sendWhenComplete(
        exchange,
        administration.read(OPERATION_TIMEOUT_MS),
        result -> {
          if (result.isLeft()) {
            JsonExchange.sendError(exchange, AdminErrors.fromAdministrationError(result.getLeft()));
          } else {
            JsonExchange.send(exchange, 200, describe(result.get()));
          }
        });
  }

  private static ObjectNode describe(ConfigurationVersion version) {
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("revision", version.revision());
    json.set("inventory", Json.MESSAGES.valueToTree(version.configuration().inventory()));
    json.set("rules", Json.MESSAGES.valueToTree(version.configuration().rules()));
    return json;
  }

  /**
   * Proposes an inventory, rules or both.
   *
   * @param exchange the exchange
   */
  void propose(HttpServerExchange exchange) {
    JsonExchange.receiveObject(exchange, body -> propose(exchange, body));
  }

  private void propose(HttpServerExchange exchange, JsonNode body) {
    if (!body.path("baseRevision").isIntegralNumber()) {
      JsonExchange.sendError(
          exchange,
          AdminErrors.invalidBody(
              "baseRevision is missing or not an integer; send the revision that was read"));
      return;
    }
    Either<List<ConfigurationProblem>, ProposeRequest> request = parseProposal(body);
    if (request.isLeft()) {
      String problems =
          request.getLeft().stream()
              .map(ConfigurationProblem::message)
              .collect(Collectors.joining("\n"));
      JsonExchange.sendError(exchange, AdminErrors.invalidBody(problems));
      return;
    }
    JsonExchange.sendWhenComplete(
        exchange,
        administration.propose(request.get(), OPERATION_TIMEOUT_MS),
        result -> sendChangeResult(exchange, result));
  }

  private Either<List<ConfigurationProblem>, ProposeRequest> parseProposal(JsonNode body) {
    String requestId = body.path("requestId").asText("");
    long baseRevision = body.path("baseRevision").asLong();
    Optional<Inventory> inventory = Optional.empty();
    Optional<Rules> rules = Optional.empty();
    if (body.has("inventory")) {
      Either<List<ConfigurationProblem>, Inventory> read =
          ConfigurationFiles.readInventory("inventory", body.get("inventory").toString());
      if (read.isLeft()) {
        return Either.left(read.getLeft());
      }
      inventory = Optional.of(read.get());
    }
    if (body.has("rules")) {
      Inventory context = inventory.orElse(status.configuration().inventory());
      Either<List<ConfigurationProblem>, Rules> read =
          ConfigurationFiles.readRules("rules", body.get("rules").toString(), context);
      if (read.isLeft()) {
        return Either.left(read.getLeft());
      }
      rules = Optional.of(read.get());
    }
    return Either.right(new ProposeRequest(requestId, baseRevision, inventory, rules));
  }

  /**
   * Responds with the result of a change.
   *
   * @param exchange the exchange
   * @param result result of the change
   */
  static void sendChangeResult(
      HttpServerExchange exchange, Either<AdministrationError, AcceptedChange> result) {
    if (result.isLeft()) {
      JsonExchange.sendError(exchange, AdminErrors.fromAdministrationError(result.getLeft()));
      return;
    }
    AcceptedChange change = result.get();
    ObjectNode json = Json.MESSAGES.createObjectNode();
    json.put("revision", change.revision());
    change.state().ifPresent(state -> json.put("state", state.name()));
    json.set("unplaced", Json.MESSAGES.valueToTree(change.unplaced()));
    JsonExchange.send(exchange, 200, json);
  }
}
