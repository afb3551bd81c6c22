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

/** Reads and validates the inventory file and the rules file written by operators. */
public final class ConfigurationFiles {

  private static final ObjectReader TREE_READER =
      Json.FILES.reader().with(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);
  private static final String DATA_CENTRE_STATE_REMEDY =
      "remove it and use the operator actions that take a data centre out and return it";

  private ConfigurationFiles() {}

  /**
   * Reads and validates an inventory file.
   *
   * @param file file name used in messages
   * @param text content of the file
   * @return the inventory, or all problems of the file
   */
  public static Either<List<ConfigurationProblem>, Inventory> readInventory(
      String file, String text) {
    return read(
        file,
        text,
        ConfigurationFiles::toInventory,
        inventory -> ConfigurationValidator.validate(file, inventory));
  }

  /**
   * Reads a rules file and validates it against the inventory to which the rules apply.
   *
   * @param file file name used in messages
   * @param text content of the file
   * @param inventory the inventory
   * @return the rules, without states of data centres, or all problems of the file
   */
  public static Either<List<ConfigurationProblem>, Rules> readRules(
      String file, String text, Inventory inventory) {
    return read(
        file,
        text,
        ConfigurationFiles::toRules,
        rules -> ConfigurationValidator.validate(file, rules, inventory));
  }

  private static <T> Either<List<ConfigurationProblem>, T> read(
      String file,
      String text,
      Function<DocumentReader, T> reader,
      Function<T, List<ConfigurationProblem>> validator) {
    JsonNode node;
    try {
      node = TREE_READER.readTree(text);
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
    document.rejectUnreadKeys();
    List<ConfigurationProblem> structuralProblems = List.copyOf(problems);
    // The reader replaced each value of the wrong type by an empty one; skip the problems that the
    // validator reports for these.
    validator.apply(value).stream()
        .filter(
            problem -> structuralProblems.stream().noneMatch(reported -> covers(reported, problem)))
        .forEach(problems::add);
    return problems.isEmpty() ? Either.right(value) : Either.left(problems);
  }

  private static boolean covers(ConfigurationProblem reported, ConfigurationProblem problem) {
    String key = problem.key();
    return reported.key().isEmpty()
        || key.equals(reported.key())
        || key.startsWith(reported.key() + ".")
        || key.startsWith(reported.key() + "[");
  }

  private static Inventory toInventory(DocumentReader file) {
    return new Inventory(
        file.string("region"),
        file.strings("dataCentres"),
        file.objects("services", ConfigurationFiles::toService),
        file.objects("pipelines", ConfigurationFiles::toPipeline),
        file.objects(
            "workspaces",
            workspace ->
                new Workspace(workspace.string("name"), workspace.intNumber("weight", 1))));
  }

  private static Service toService(DocumentReader service) {
    return new Service(
        service.string("name"),
        service.enumConstant("kind", ServiceKind.class).orElse(null),
        service.intNumber("slots", 0),
        service.intNumber("coldLimit", 0),
        service.longNumber("rampStepMs", 0),
        service.objects("placements", ConfigurationFiles::toPlacement));
  }

  private static Placement toPlacement(DocumentReader placement) {
    return new Placement(
        placement.string("dataCentre"),
        placement.string("model"),
        placement.string("version"),
        placement.strings("adapters"),
        placement.intNumber("replicas", 1));
  }

  private static Pipeline toPipeline(DocumentReader pipeline) {
    return new Pipeline(
        pipeline.string("name"),
        pipeline.longNumber("deadlineMs", 0),
        pipeline.objects(
            "stages",
            stage ->
                new Stage(
                    stage.string("name"),
                    stage.string("service"),
                    stage.intNumber("maxTokens", 0))));
  }

  private static Rules toRules(DocumentReader file) {
    file.rejectKey("dataCentres", DATA_CENTRE_STATE_REMEDY);
    return new Rules(
        file.strings("neverTwice"),
        file.strings("workspaceOrder"),
        file.intNumber("minimumSharePercent", 0),
        Map.of());
  }
}
