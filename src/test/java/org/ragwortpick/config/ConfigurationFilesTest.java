package org.ragwortpick.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against invalid files that are accepted, and problems reported singly or without remedy.
 */
public final class ConfigurationFilesTest {

  private static final String VALID_INVENTORY =
      """
      // Asset register.
      {
        "region": "norte-es",
        "dataCentres": ["norte-a", "norte-b"],
        "services": [
          {"name": "tutor-lm", "kind": "engine", "slots": 8, "coldLimit": 2, "rampStepMs": 2000,
           "placements": [{"dataCentre": "norte-a", "model": "tutor", "version": "3",
                           "adapters": ["safety"], "replicas": 2}]},
          {"name": "certificacion", "kind": "plain", "slots": 4, "coldLimit": 4, "rampStepMs": 500},
        ],
        "pipelines": [{"name": "tutor", "deadlineMs": 3000,
                       "stages": [{"name": "generate", "service": "tutor-lm", "maxTokens": 64}]}],
        "workspaces": [{"name": "w1", "weight": 3}, {"name": "w2"}],
      }
      """;

  private static Inventory inventory() {
    return ConfigurationFiles.readInventory("inventory.json", VALID_INVENTORY).get();
  }

  @Test
  public void readsValidFiles() {
    assertEquals(inventory().services().get(0).placements().get(0).adapters(), List.of("safety"));
    Rules rules =
        ConfigurationFiles.readRules(
                "rules.json",
                "{\"neverTwice\": [\"certificacion\"], \"workspaceOrder\": [\"w2\"],"
                    + " \"minimumSharePercent\": 50}",
                inventory())
            .get();
    assertEquals(rules.neverTwice(), List.of("certificacion"));
  }

  @DataProvider
  Object[][] invalidInventories() {
    return new Object[][] {
      {"\"norte-b\"]", "\"norte-a\"]", "dataCentres[1]", "\"norte-a\""},
      {"\"certificacion\"", "\"tutor-lm\"", "services[1].name", "\"tutor-lm\""},
      {
        "\"dataCentre\": \"norte-a\"", "\"dataCentre\": \"x\"", ".placements[0].dataCentre", "\"x\""
      },
      {
        "\"service\": \"tutor-lm\"", "\"service\": \"x\"", "pipelines[0].stages[0].service", "\"x\""
      },
      {"\"coldLimit\": 2", "\"coldLimit\": 9", "services[0].coldLimit", "9"},
      {"\"slots\": 8", "\"slots\": \"8\"", "services[0].slots", "\"8\""},
      {"\"slots\": 8", "\"slot\": 8", "services[0].slot", "8"},
      {"\"kind\": \"plain\"", "\"kind\": \"plan\"", "services[1].kind", "\"plan\""},
      {"\"weight\": 3", "\"weight\": 0", "workspaces[0].weight", "0"},
      {"\"deadlineMs\": 3000", "\"deadlineMs\": 0", "pipelines[0].deadlineMs", "0"},
      {"\"maxTokens\": 64", "\"maxTokens\": 0", "pipelines[0].stages[0].maxTokens", "0"},
    };
  }

  @Test(dataProvider = "invalidInventories")
  public void messageNamesFileKeyValueAndRemedy(
      String original, String replacement, String key, String value) {
    assertTrue(VALID_INVENTORY.contains(original));
    List<ConfigurationProblem> problems =
        ConfigurationFiles.readInventory(
                "inventory.json", VALID_INVENTORY.replace(original, replacement))
            .getLeft();
    String message =
        problems.stream()
            .map(ConfigurationProblem::message)
            .filter(text -> text.contains(key + ":"))
            .findFirst()
            .orElseThrow(() -> new AssertionError(problems.toString()));
    assertTrue(message.startsWith("inventory.json: "), message);
    assertTrue(message.contains(value), message);
    assertTrue(message.contains("; "), message);
  }

  @Test
  public void reportsAllFaultsOfInventoryFile() {
    String text =
        VALID_INVENTORY
            .replace("\"slots\": 8", "\"slots\": true")
            .replace("\"weight\": 3", "\"weight\": 0, \"colour\": 1")
            .replaceAll("(?s)\"stages\": \\[.*?\\]", "\"stages\": []");
    List<ConfigurationProblem> problems =
        ConfigurationFiles.readInventory("inventory.json", text).getLeft();
    assertEquals(
        problems.stream().map(ConfigurationProblem::key).sorted().toList(),
        List.of(
            "pipelines[0].stages",
            "services[0].slots",
            "workspaces[0].colour",
            "workspaces[0].weight"));
  }

  @Test
  public void reportsAllFaultsOfRulesFile() {
    List<ConfigurationProblem> problems =
        ConfigurationFiles.readRules(
                "rules.json",
                "{\"neverTwice\": [\"x\"], \"workspaceOrder\": [\"w1\", \"w1\", \"y\"],"
                    + " \"minimumSharePercent\": 51, \"dataCentres\": {\"norte-a\": \"OUT\"}}",
                inventory())
            .getLeft();
    assertEquals(
        problems.stream().map(ConfigurationProblem::key).sorted().toList(),
        List.of(
            "dataCentres",
            "minimumSharePercent",
            "neverTwice[0]",
            "workspaceOrder[1]",
            "workspaceOrder[2]"));
  }

  @Test
  public void reportsLineAndColumnOfSyntaxError() {
    String message =
        ConfigurationFiles.readInventory("inventory.json", "{\n \"region\" 1}")
            .getLeft()
            .get(0)
            .message();
    assertTrue(message.startsWith("inventory.json: line 2, column"), message);
  }
}
