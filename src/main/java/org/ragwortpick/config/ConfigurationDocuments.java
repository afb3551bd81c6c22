package org.ragwortpick.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortpick.common.Json;
import org.ragwortpick.routing.RoutingConfiguration;

/**
 * Converts a configuration to and from a set of JSON documents with string keys.
 *
 * <p>Most changes affect few documents, so replicas and VMs exchange only the changed ones.
 */
public final class ConfigurationDocuments {

  private static final String REGION_KEY = "region";
  private static final String RULES_KEY = "rules";
  private static final String ROUTING_KEY = "routing";
  private static final String SERVICE_PREFIX = "service/";
  private static final String PIPELINE_PREFIX = "pipeline/";
  private static final String WORKSPACE_PREFIX = "workspace/";
  private static final String DATA_CENTRE_PREFIX = "dataCentre/";
  private static final String DATA_CENTRE_ORDER_PREFIX = "dataCentreOrder/";

  private static final String ROLLOUT_PREFIX = "rollout/";

  private ConfigurationDocuments() {}

  /**
   * Converts a configuration into documents.
   *
   * @param configuration the configuration
   * @return JSON texts by document key
   */
  public static SortedMap<String, String> toDocuments(Configuration configuration) {
    SortedMap<String, String> documents = new TreeMap<>();
    Inventory inventory = configuration.inventory();
    Rules rules = configuration.rules();
    documents.put(REGION_KEY, encode(new Region(inventory.region(), inventory.dataCentres())));
    documents.put(
        RULES_KEY,
        encode(
            new Rules(
                rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), null)));
    inventory.services().forEach(s -> documents.put(SERVICE_PREFIX + s.name(), encode(s)));
    inventory.pipelines().forEach(p -> documents.put(PIPELINE_PREFIX + p.name(), encode(p)));
    inventory.workspaces().forEach(w -> documents.put(WORKSPACE_PREFIX + w.name(), encode(w)));
    rules
        .dataCentres()
        .forEach((dc, state) -> documents.put(DATA_CENTRE_PREFIX + dc, encode(state)));
    configuration
        .orderRevisions()
        .forEach((dc, at) -> documents.put(DATA_CENTRE_ORDER_PREFIX + dc, encode(at)));
    configuration
        .rollouts()
        .forEach((service, rollout) -> documents.put(ROLLOUT_PREFIX + service, encode(rollout)));
    configuration.routing().ifPresent(routing -> documents.put(ROUTING_KEY, routing.encode()));
    return documents;
  }

  /**
   * Converts documents into a configuration.
   *
   * @param revision revision of the configuration
   * @param documents JSON texts by document key
   * @return the configuration
   * @throws IllegalArgumentException if a document cannot be parsed
   */
  public static Configuration fromDocuments(long revision, SortedMap<String, String> documents) {
    Region region = decode(documents.getOrDefault(REGION_KEY, "{}"), Region.class);
    Rules rules = decode(documents.getOrDefault(RULES_KEY, "{}"), Rules.class);
    Inventory inventory =
        new Inventory(
            region.region(),
            region.dataCentres(),
            decodeAll(documents, SERVICE_PREFIX, Service.class),
            decodeAll(documents, PIPELINE_PREFIX, Pipeline.class),
            decodeAll(documents, WORKSPACE_PREFIX, Workspace.class));
    Map<String, DataCentreState> states =
        decodeByName(documents, DATA_CENTRE_PREFIX, DataCentreState.class);
    return new Configuration(
        revision,
        inventory,
        new Rules(rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), states),
        decodeByName(documents, DATA_CENTRE_ORDER_PREFIX, Long.class),
        Optional.ofNullable(documents.get(ROUTING_KEY)).map(RoutingConfiguration::decode),
        decodeByName(documents, ROLLOUT_PREFIX, Rollout.class));
  }

  private static SortedMap<String, String> documentsWithPrefix(
      SortedMap<String, String> documents, String prefix) {
    return documents.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  private static <T> List<T> decodeAll(
      SortedMap<String, String> documents, String prefix, Class<T> type) {
    List<T> values = new ArrayList<>();
    documentsWithPrefix(documents, prefix).values().forEach(text -> values.add(decode(text, type)));
    return values;
  }

  private static <T> Map<String, T> decodeByName(
      SortedMap<String, String> documents, String prefix, Class<T> type) {
    Map<String, T> values = new HashMap<>();
    documentsWithPrefix(documents, prefix)
        .forEach((key, text) -> values.put(key.substring(prefix.length()), decode(text, type)));
    return values;
  }

  private static String encode(Object value) {
    try {
      return Json.MESSAGES.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode " + value, e);
    }
  }

  private static <T> T decode(String text, Class<T> type) {
    try {
      return Json.MESSAGES.readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot decode document " + text, e);
    }
  }

  private record Region(String region, List<String> dataCentres) {
    private Region {
      region = region == null ? "" : region;
      dataCentres = dataCentres == null ? List.of() : List.copyOf(dataCentres);
    }
  }
}
