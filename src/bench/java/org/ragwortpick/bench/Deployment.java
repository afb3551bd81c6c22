package org.ragwortpick.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ragwortpick.config.Configuration;
import org.ragwortpick.config.DataCentreState;
import org.ragwortpick.config.Inventory;
import org.ragwortpick.config.Pipeline;
import org.ragwortpick.config.Placement;
import org.ragwortpick.config.Rules;
import org.ragwortpick.config.Service;
import org.ragwortpick.config.ServiceKind;
import org.ragwortpick.config.Stage;
import org.ragwortpick.config.Workspace;

/**
 * Simulated deployment of one user.
 *
 * @param name name of the user
 * @param inventory services, pipelines and workspaces
 * @param rules rules of the user
 * @param crossDataCentreLatencyMs one-way latency between data centres in milliseconds
 * @param fullRatePerSecond pipeline requests per second at which all engines are fully loaded
 */
record Deployment(
    String name,
    Inventory inventory,
    Rules rules,
    double crossDataCentreLatencyMs,
    double fullRatePerSecond) {

  /** Number of entry VMs of each deployment. */
  static final int ENTRY_VMS = 9;

  /** Share of each workspace in the pipeline requests in percent, in descending order. */
  static final int[] WORKSPACE_SHARE_PERCENT = {35, 30, 20, 10, 5};

  /** Average number of plain calls per 100 pipeline requests. */
  static final int PLAIN_CALL_PERCENT = 20;

  private static final int ENGINE_SLOTS = 8;
  private static final int COLD_LIMIT = 2;
  private static final long RAMP_STEP_MS = 2_000;
  private static final long DEADLINE_MS = 3_000;
  private static final int MINIMUM_SHARE_PERCENT = 5;

  /** Requests per second of a fully loaded engine, which runs 8 at once in 1.2 s each. */
  private static final double ENGINE_REQUESTS_PER_SECOND = 6.6;

  /**
   * Creates the deployment of the advice desk for fly screen fitters.
   *
   * @return the deployment
   */
  static Deployment komarnik() {
    return create(
        "komarnik",
        "jadran",
        List.of("split-a", "rijeka-b", "zadar-c", "dubrovnik-d"),
        Map.of("savjetnik", 8),
        Map.of("raspored", 4, "clanarina", 4, "katalog", 4, "obuka", 4),
        "raspored",
        0.4);
  }

  /**
   * Creates the deployment of the training platform.
   *
   * @return the deployment
   */
  static Deployment carga() {
    return create(
        "carga",
        "norte-es",
        List.of("norte-a", "norte-b", "norte-c"),
        Map.of("tutor-lm", 6),
        Map.of("certificacion", 3, "matricula", 3, "contenidos", 4, "informes", 4),
        "certificacion",
        1.2);
  }

  private static Deployment create(
      String userName,
      String region,
      List<String> dataCentres,
      Map<String, Integer> engines,
      Map<String, Integer> plainServices,
      String neverTwice,
      double crossDataCentreLatencyMs) {
    List<Service> services = new ArrayList<>();
    String engine = engines.keySet().iterator().next();
    int upstreamsPerPool = dataCentres.size();
    services.add(
        createService(engine, ServiceKind.ENGINE, ENGINE_SLOTS, engines.get(engine), dataCentres));
    services.add(createService("encoders", ServiceKind.ENCODER, 4, upstreamsPerPool, dataCentres));
    services.add(
        createService("retrievers", ServiceKind.RETRIEVER, 4, upstreamsPerPool, dataCentres));
    services.add(
        createService("rerankers", ServiceKind.RERANKER, 4, upstreamsPerPool, dataCentres));
    plainServices.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .forEach(
            entry ->
                services.add(
                    createService(
                        entry.getKey(), ServiceKind.PLAIN, 4, entry.getValue(), dataCentres)));
    Pipeline pipeline =
        new Pipeline(
            "answer",
            DEADLINE_MS,
            List.of(
                new Stage("encode", "encoders", 0),
                new Stage("retrieve", "retrievers", 0),
                new Stage("rerank", "rerankers", 0),
                new Stage("generate", engine, 80)));
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < WORKSPACE_SHARE_PERCENT.length; i++) {
      workspaces.add(new Workspace("w" + (i + 1), WORKSPACE_SHARE_PERCENT[i]));
    }
    Inventory inventory =
        new Inventory(region, dataCentres, services, List.of(pipeline), workspaces);
    Rules rules =
        new Rules(List.of(neverTwice), List.of("w1", "w2"), MINIMUM_SHARE_PERCENT, Map.of());
    double fullRatePerSecond = ENGINE_REQUESTS_PER_SECOND * engines.get(engine);
    return new Deployment(userName, inventory, rules, crossDataCentreLatencyMs, fullRatePerSecond);
  }

  private static Service createService(
      String name, ServiceKind kind, int slots, int upstreamCount, List<String> dataCentres) {
    Map<String, Integer> replicasByDataCentre = new HashMap<>();
    for (int i = 0; i < upstreamCount; i++) {
      replicasByDataCentre.merge(dataCentres.get(i % dataCentres.size()), 1, Integer::sum);
    }
    List<Placement> placements = new ArrayList<>();
    for (String dataCentre : dataCentres) {
      int replicas = replicasByDataCentre.getOrDefault(dataCentre, 0);
      placements.add(new Placement(dataCentre, "m", "1", List.of(), replicas));
    }
    return new Service(name, kind, slots, COLD_LIMIT, RAMP_STEP_MS, placements);
  }

  /**
   * Creates a configuration in which at most one data centre is not in service.
   *
   * @param revision revision of the configuration
   * @param dataCentre data centre that gets the state; null if all are in service
   * @param state state of the data centre; ignored without a data centre
   * @return the configuration
   */
  Configuration configuration(long revision, String dataCentre, DataCentreState state) {
    Map<String, DataCentreState> states = dataCentre == null ? Map.of() : Map.of(dataCentre, state);
    return new Configuration(
        revision,
        inventory,
        new Rules(rules.neverTwice(), rules.workspaceOrder(), rules.minimumSharePercent(), states));
  }

  /**
   * Returns the pipeline of the deployment, which has only one.
   *
   * @return the pipeline
   */
  Pipeline pipeline() {
    return inventory.pipelines().get(0);
  }
}
