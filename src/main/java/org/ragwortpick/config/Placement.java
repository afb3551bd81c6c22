package org.ragwortpick.config;

import java.util.List;

/**
 * Number of upstreams of one service that run one model version in one data centre.
 *
 * @param dataCentre name of the data centre
 * @param model model name; empty for a plain service
 * @param version model or service version
 * @param adapters adapters loaded in addition to the model
 * @param replicas number of upstreams
 */
public record Placement(
    String dataCentre, String model, String version, List<String> adapters, int replicas) {

  /** Replaces absent lists and texts by empty ones. */
  public Placement {
    model = model == null ? "" : model;
    version = version == null ? "" : version;
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }
}
