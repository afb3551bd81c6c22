package org.ragwortpick.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Validates an inventory or rules and collects all problems. */
public final class ConfigurationValidator {

  private static final long MAX_SLOTS_PER_UPSTREAM = 10_000;
  private static final long MAX_REPLICAS_PER_PLACEMENT = 10_000;
  private static final long MIN_RAMP_STEP_MS = 10;
  private static final long MAX_RAMP_STEP_MS = 3_600_000;
  private static final long MAX_DEADLINE_MS = 600_000;
  private static final long MAX_TOKENS_PER_STAGE = 1_000_000;
  private static final long MAX_WORKSPACE_WEIGHT = 1_000;
  private static final long TOTAL_SHARE_PERCENT = 100;
  private static final String NAME_REMEDY = "give it a name";

  private final String file;
  private final List<ConfigurationProblem> problems = new ArrayList<>();

  private ConfigurationValidator(String file) {
    this.file = file;
  }

  /**
   * Validates an inventory.
   *
   * @param file file name used in messages
   * @param inventory the inventory
   * @return all problems; empty if there are none
   */
  public static List<ConfigurationProblem> validate(String file, Inventory inventory) {
    ConfigurationValidator validator = new ConfigurationValidator(file);
    validator.checkInventory(inventory);
    return validator.problems;
  }

  /**
   * Validates rules against the inventory to which they apply.
   *
   * @param file file name used in messages
   * @param rules the rules
   * @param inventory the inventory
   * @return all problems; empty if there are none
   */
  public static List<ConfigurationProblem> validate(String file, Rules rules, Inventory inventory) {
    ConfigurationValidator validator = new ConfigurationValidator(file);
    validator.checkRules(rules, inventory);
    return validator.problems;
  }

  private void checkInventory(Inventory inventory) {
    requireNonBlank("region", inventory.region(), "name the region");
    checkNames("dataCentres", inventory.dataCentres(), Function.identity(), "");
    if (inventory.dataCentres().isEmpty()) {
      problems.add(
          new ConfigurationProblem.Missing(file, "dataCentres", "list at least one data centre"));
    }
    checkNames("services", inventory.services(), Service::name, ".name");
    checkNames("pipelines", inventory.pipelines(), Pipeline::name, ".name");
    checkNames("workspaces", inventory.workspaces(), Workspace::name, ".name");
    for (int i = 0; i < inventory.services().size(); i++) {
      checkService("services[" + i + "]", inventory.services().get(i), inventory);
    }
    Map<String, Service> services =
        inventory.services().stream()
            .collect(
                Collectors.toMap(Service::name, Function.identity(), (first, duplicate) -> first));
    for (int i = 0; i < inventory.pipelines().size(); i++) {
      checkPipeline("pipelines[" + i + "]", inventory.pipelines().get(i), services);
    }
    for (int i = 0; i < inventory.workspaces().size(); i++) {
      requireRange(
          "workspaces[" + i + "].weight",
          inventory.workspaces().get(i).weight(),
          1,
          MAX_WORKSPACE_WEIGHT);
    }
  }

  private void checkService(String path, Service service, Inventory inventory) {
    if (service.kind() == null) {
      problems.add(
          new ConfigurationProblem.Missing(
              file, path + ".kind", "write one of " + List.of(ServiceKind.values())));
    }
    requireRange(path + ".slots", service.slots(), 1, MAX_SLOTS_PER_UPSTREAM);
    // A number of slots below 1 is reported above and cannot serve as the upper limit.
    long maxColdLimit = service.slots() < 1 ? MAX_SLOTS_PER_UPSTREAM : service.slots();
    if (service.coldLimit() < 1 || service.coldLimit() > maxColdLimit) {
      problems.add(
          new ConfigurationProblem.OutOfRange(
              file,
              path + ".coldLimit",
              service.coldLimit(),
              1,
              maxColdLimit,
              "at most the number of slots"));
    }
    requireRange(path + ".rampStepMs", service.rampStepMs(), MIN_RAMP_STEP_MS, MAX_RAMP_STEP_MS);
    for (int i = 0; i < service.placements().size(); i++) {
      Placement placement = service.placements().get(i);
      String placementPath = path + ".placements[" + i + "]";
      requireExistingName(
          placementPath + ".dataCentre",
          placement.dataCentre(),
          "data centre",
          inventory.dataCentres());
      requireRange(
          placementPath + ".replicas", placement.replicas(), 1, MAX_REPLICAS_PER_PLACEMENT);
      if (service.kind() == ServiceKind.ENGINE) {
        requireNonBlank(
            placementPath + ".model", placement.model(), "name the model that the engines load");
      }
      checkNames(placementPath + ".adapters", placement.adapters(), Function.identity(), "");
    }
  }

  private void checkPipeline(String path, Pipeline pipeline, Map<String, Service> services) {
    requireRange(path + ".deadlineMs", pipeline.deadlineMs(), 1, MAX_DEADLINE_MS);
    if (pipeline.stages().isEmpty()) {
      problems.add(
          new ConfigurationProblem.Missing(file, path + ".stages", "list at least one stage"));
    }
    checkNames(path + ".stages", pipeline.stages(), Stage::name, ".name");
    for (int i = 0; i < pipeline.stages().size(); i++) {
      Stage stage = pipeline.stages().get(i);
      String stagePath = path + ".stages[" + i + "]";
      requireExistingName(stagePath + ".service", stage.service(), "service", services.keySet());
      Service service = services.get(stage.service());
      if (service != null && service.kind() == ServiceKind.ENGINE) {
        requireRange(stagePath + ".maxTokens", stage.maxTokens(), 1, MAX_TOKENS_PER_STAGE);
      } else {
        requireRange(stagePath + ".maxTokens", stage.maxTokens(), 0, MAX_TOKENS_PER_STAGE);
      }
    }
  }

  private void checkRules(Rules rules, Inventory inventory) {
    List<String> services = inventory.services().stream().map(Service::name).toList();
    Set<String> workspaces =
        inventory.workspaces().stream().map(Workspace::name).collect(Collectors.toSet());
    checkReferences("neverTwice", rules.neverTwice(), "service", services);
    checkReferences("workspaceOrder", rules.workspaceOrder(), "workspace", workspaces);
    long maxSharePercent = TOTAL_SHARE_PERCENT / Math.max(1, workspaces.size());
    if (rules.minimumSharePercent() < 0 || rules.minimumSharePercent() > maxSharePercent) {
      problems.add(
          new ConfigurationProblem.OutOfRange(
              file,
              "minimumSharePercent",
              rules.minimumSharePercent(),
              0,
              maxSharePercent,
              "since the shares of "
                  + workspaces.size()
                  + " workspaces must not exceed 100 percent in total"));
    }
    rules.dataCentres().keySet().stream()
        .sorted()
        .forEach(
            name ->
                requireExistingName(
                    "dataCentres." + name, name, "data centre", inventory.dataCentres()));
  }

  private void checkReferences(
      String path, List<String> names, String kind, Collection<String> existingNames) {
    checkNames(path, names, Function.identity(), "");
    for (int i = 0; i < names.size(); i++) {
      requireExistingName(path + "[" + i + "]", names.get(i), kind, existingNames);
    }
  }

  private <T> void checkNames(
      String path, List<T> values, Function<? super T, String> nameOf, String suffix) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < values.size(); i++) {
      String name = nameOf.apply(values.get(i));
      String elementPath = path + "[" + i + "]" + suffix;
      requireNonBlank(elementPath, name, NAME_REMEDY);
      if (!isBlank(name) && !seen.add(name)) {
        problems.add(new ConfigurationProblem.DuplicateName(file, elementPath, name));
      }
    }
  }

  private void requireExistingName(
      String path, String name, String kind, Collection<String> existingNames) {
    if (isBlank(name)) {
      requireNonBlank(path, name, "name a " + kind);
    } else if (!existingNames.contains(name)) {
      problems.add(
          new ConfigurationProblem.UnknownName(
              file, path, name, kind, existingNames.stream().sorted().toList()));
    }
  }

  private void requireNonBlank(String path, String text, String remedy) {
    if (isBlank(text) && problems.stream().noneMatch(problem -> problem.key().equals(path))) {
      problems.add(new ConfigurationProblem.Missing(file, path, remedy));
    }
  }

  private void requireRange(String path, long value, long min, long max) {
    if (value < min || value > max) {
      problems.add(new ConfigurationProblem.OutOfRange(file, path, value, min, max, ""));
    }
  }

  private static boolean isBlank(String text) {
    return text == null || text.isBlank();
  }
}
