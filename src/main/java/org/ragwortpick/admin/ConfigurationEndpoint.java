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

/** Reads and changes the configuration. */
final class ConfigurationEndpoint {

  /** Longest time in milliseconds for which an operator waits for an answer. */
  static final long TIMEOUT_MS = 10_000;

  private final Administration administration;
  private final VmStatus status;

  /**
   * Creates the endpoint.
   *
   * @param administration operator requests
   * @param status state of the VM
   */
  ConfigurationEndpoint(Administration administration, VmStatus status) {
    this.administration = administration;
    this.status = status;
  }

  /**
   * Sends the configuration, read through the leader.
   *
   * @param exchange the exchange
   */
  void read(HttpServerExchange exchange) {
    JsonExchange.answerLater(
        exchange,
        administration.read(TIMEOUT_MS),
        result -> {
          if (result.isLeft()) {
            JsonExchange.error(exchange, AdminErrors.of(result.getLeft()));
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
    JsonExchange.receive(exchange, body -> propose(exchange, body));
  }

  private void propose(HttpServerExchange exchange, JsonNode body) {
    if (!body.path("baseRevision").isIntegralNumber()) {
      JsonExchange.error(
          exchange,
          AdminErrors.invalidBody(
              "baseRevision is missing or no whole number; write the revision that was read"));
      return;
    }
    Either<List<ConfigurationProblem>, ProposeRequest> request = parse(body);
    if (request.isLeft()) {
      String problems =
          request.getLeft().stream()
              .map(ConfigurationProblem::message)
              .collect(Collectors.joining("\n"));
      JsonExchange.error(exchange, AdminErrors.invalidBody(problems));
      return;
    }
    JsonExchange.answerLater(
        exchange,
        administration.propose(request.get(), TIMEOUT_MS),
        result -> answer(exchange, result));
  }

  private Either<List<ConfigurationProblem>, ProposeRequest> parse(JsonNode body) {
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
   * Answers a change.
   *
   * @param exchange the exchange
   * @param result result of the change
   */
  static void answer(
      HttpServerExchange exchange, Either<AdministrationError, AcceptedChange> result) {
    if (result.isLeft()) {
      JsonExchange.error(exchange, AdminErrors.of(result.getLeft()));
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
