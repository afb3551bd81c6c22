package org.ragwortpick.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.ragwortpick.common.Json;

/**
 * Settings that the environment of a process may state in place of its file, for platforms that
 * know a value only in some deployments. A variable that is unset or blank leaves the file as it
 * is.
 */
final class EnvironmentValues {

  private static final List<Variable> VARIABLES =
      List.of(
          new Variable("MAX_FILE_DESCRIPTORS", List.of("entry"), "maxFileDescriptors"),
          new Variable("ROLLOUT_EXPOSURE_SHARE", List.of("control", "rollouts"), "exposureShare"),
          new Variable("ROLLOUT_EXPOSURE_SLACK", List.of("control", "rollouts"), "exposureSlack"),
          new Variable("ROLLOUT_ROLLBACK_MS", List.of("control", "rollouts"), "rollbackMs"));

  private EnvironmentValues() {}

  /**
   * Writes the values of the environment into the settings, where the role that has them is
   * configured. The reader of the settings checks them under the name of their key.
   *
   * @param settings settings of the file, which are changed
   * @param environment environment variables of the process
   */
  static void apply(ObjectNode settings, Map<String, String> environment) {
    for (Variable variable : VARIABLES) {
      String value = environment.getOrDefault(variable.name(), "").trim();
      if (!value.isEmpty() && settings.path(variable.parents().get(0)).isObject()) {
        variable.put(settings, value);
      }
    }
  }

  /**
   * Environment variable.
   *
   * @param name name of the variable
   * @param parents names of the objects that lead to the key
   * @param key key of the setting, a number
   */
  private record Variable(String name, List<String> parents, String key) {

    void put(ObjectNode settings, String value) {
      ObjectNode parent = settings;
      for (String step : parents) {
        JsonNode child = parent.path(step);
        parent = child.isObject() ? (ObjectNode) child : parent.putObject(step);
      }
      try {
        parent.set(key, Json.FILES.readTree(value));
      } catch (JsonProcessingException e) {
        // The reader reports a text where it expects a number.
        parent.put(key, value);
      }
    }
  }
}
