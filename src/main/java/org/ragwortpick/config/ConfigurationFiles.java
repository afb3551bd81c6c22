package org.ragwortpick.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.ragwortpick.common.Json;

/** Reader of the inventory file and the rules file that operators write. */
public final class ConfigurationFiles {

  private static final ObjectReader TREES =
      Json.FILES.reader().with(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
  private static final String STATE_REMEDY =
      "remove it and use the operator actions that take a data centre out and return it";

  private ConfigurationFiles() {}

  /**
   * Reads and checks an inventory file.
   *
   * @param file name of the file for the messages
   * @param text content of the file
   * @return the inventory, or all faults of the file
   */
  public static Either<List<ConfigurationProblem>, Inventory> readInventory(
      String file, String text) {
    return read(
        file,
        text,
        ConfigurationFiles::inventory,
        inventory -> ConfigurationValidator.validate(file, inventory));
  }

  /**
   * Reads a rules file and checks it against the inventory to which the rules apply.
   *
   * @param file name of the file for the messages
   * @param text content of the file
   * @param inventory the inventory
   * @return the rules, without states of data centres, or all faults of the file
   */
  public static Either<List<ConfigurationProblem>, Rules> readRules(
      String file, String text, Inventory inventory) {
    return read(
        file,
        text,
        ConfigurationFiles::rules,
        rules -> ConfigurationValidator.validate(file, rules, inventory));
  }

  private static <T> Either<List<ConfigurationProblem>, T> read(
      String file,
      String text,
      Function<DocumentReader, T> reader,
      Function<T, List<ConfigurationProblem>> validator) {
    JsonNode node;
    try {
      node = TREES.readTree(text);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      return Either.left(
          List.of(
              new ConfigurationProblem.Syntax(
                  file,
                  location == null ? 1 : location.getLineNr(),
                  location == null ? 1 : location.getColumnNr(),
                  e.getOriginalMessage())));
    }
    List<ConfigurationProblem> problems = new ArrayList<>();
    DocumentReader document = new DocumentReader(file, "", node, problems);
    T value = reader.apply(document);
    document.refuseOtherKeys();
    List<ConfigurationProblem> structural = List.copyOf(problems);
    // A value of the wrong type was replaced by an empty one, which must not be reported again.
    validator.apply(value).stream()
        .filter(problem -> structural.stream().noneMatch(found -> covers(found, problem)))
        .forEach(problems::add);
    return problems.isEmpty() ? Either.right(value) : Either.left(problems);
  }

  private static boolean covers(ConfigurationProblem found, ConfigurationProblem problem) {
    String key = problem.key();
    return found.key().isEmpty()
        || key.equals(found.key())
        || key.startsWith(found.key() + ".")
        || key.startsWith(found.key() + "[");
  }

  private static Inventory inventory(DocumentReader file) {
    return new Inventory(
        file.text("region"),
        file.texts("dataCentres"),
        file.objects("services", ConfigurationFiles::service),
        file.objects("pipelines", ConfigurationFiles::pipeline),
        file.objects(
            "workspaces",
            workspace ->
                new Workspace(workspace.text("name"), workspace.smallNumber("weight", 1))));
  }

  private static Service service(DocumentReader service) {
    return new Service(
        service.text("name"),
        service.constant("kind", ServiceKind.class).orElse(null),
        service.smallNumber("slots", 0),
        service.smallNumber("coldLimit", 0),
        service.number("rampStepMs", 0),
        service.objects("placements", ConfigurationFiles::placement));
  }

  private static Placement placement(DocumentReader placement) {
    return new Placement(
        placement.text("dataCentre"),
        placement.text("model"),
        placement.text("version"),
        placement.texts("adapters"),
        placement.smallNumber("replicas", 1));
  }

  private static Pipeline pipeline(DocumentReader pipeline) {
    return new Pipeline(
        pipeline.text("name"),
        pipeline.number("deadlineMs", 0),
        pipeline.objects(
            "stages",
            stage ->
                new Stage(
                    stage.text("name"), stage.text("service"), stage.smallNumber("maxTokens", 0))));
  }

  private static Rules rules(DocumentReader file) {
    file.refuse("dataCentres", STATE_REMEDY);
    return new Rules(
        file.texts("neverTwice"),
        file.texts("workspaceOrder"),
        file.smallNumber("minimumSharePercent", 0),
        Map.of());
  }
}
